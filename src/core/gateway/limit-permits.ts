/**
 * This daemon's permits for servers with a limit, each valid for one request and a short time, and the times at which
 * more can be expected.
 */

/**
 * An older permit is returned: a granted request has to reach the server soon, or requests bunch there. Within this
 * time, a daemon with a few requests per second for the service still uses most of its permits.
 */
export const PERMIT_VALID_MS = 250;

/** Permits that were not used in time. */
export interface UnusedPermits {
  readonly serverId: string;
  readonly count: number;
  /** The daemon that granted them. */
  readonly granter: string;
}

/** Permits of one grant. */
export interface GrantedPermits {
  readonly count: number;
  readonly expiresAtMs: number;
  readonly granter: string;
}

interface PermitBatch extends Omit<GrantedPermits, 'count'> {
  count: number;
}

/** The permits of a daemon. */
export class LimitPermits {
  readonly #batches = new Map<string, PermitBatch[]>();
  readonly #expectedAtMs = new Map<string, number>();

  /** Adds the permits of a grant. */
  add(serverId: string, granted: GrantedPermits): void {
    const batches = this.#batches.get(serverId) ?? [];
    batches.push({ ...granted });
    this.#batches.set(serverId, batches);
  }

  /** Requests that may be sent to a server now. */
  countFor(serverId: string, nowMs: number): number {
    const batches = this.#batches.get(serverId) ?? [];
    return batches.reduce((sum, batch) => sum + (batch.expiresAtMs > nowMs ? batch.count : 0), 0);
  }

  /** Requests that may be sent now, to all servers. */
  count(nowMs: number): number {
    return [...this.#batches.keys()].reduce((sum, id) => sum + this.countFor(id, nowMs), 0);
  }

  /** Uses a permit for a request and returns its granter; undefined if there is no valid permit. */
  take(serverId: string, nowMs: number): Pick<GrantedPermits, 'granter'> | undefined {
    const isUsable = ({ expiresAtMs, count }: PermitBatch) => expiresAtMs > nowMs && count > 0;
    const batch = this.#batches.get(serverId)?.find(isUsable);
    if (batch === undefined) return undefined;
    batch.count -= 1;
    return { granter: batch.granter };
  }

  /** Removes and returns the permits that are no longer valid. */
  takeExpired(nowMs: number): readonly UnusedPermits[] {
    const unused: UnusedPermits[] = [];
    for (const [serverId, batches] of this.#batches) {
      for (const { expiresAtMs, count, granter } of batches) {
        if (expiresAtMs <= nowMs && count > 0) unused.push({ serverId, count, granter });
      }
      const left = batches.filter(({ expiresAtMs, count }) => expiresAtMs > nowMs && count > 0);
      if (left.length === 0) this.#batches.delete(serverId);
      else this.#batches.set(serverId, left);
    }
    return unused;
  }

  /** Records when this daemon can expect a permit. */
  expectAt(serverId: string, atMs: number): void {
    this.#expectedAtMs.set(serverId, atMs);
  }

  /** Time until a permit can be expected; 0 if that is not known. */
  expectedInMs(serverId: string, nowMs: number): number {
    return Math.max(0, (this.#expectedAtMs.get(serverId) ?? nowMs) - nowMs);
  }

  /** Forgets a server that has no limit any more, or was removed. */
  forget(serverId: string): void {
    this.#batches.delete(serverId);
    this.#expectedAtMs.delete(serverId);
  }
}
