/**
 * What this daemon may send to servers that name a limit: permits that were granted to it, each good for one request
 * and for a short time, and when it may expect more.
 */

/**
 * A permit that is older is given back: what is granted has to reach the server soon, or requests bunch there. A daemon
 * with a few requests a second for the service still uses most of its permits.
 */
export const PERMIT_VALID_MS = 250;

/** Granted requests that were not sent in time. */
export interface UnusedPermits {
  readonly serverId: string;
  readonly count: number;
  /** The daemon that granted them. */
  readonly granter: string;
}

/** A grant. */
export interface GrantedPermits {
  readonly count: number;
  readonly expiresAtMs: number;
  readonly granter: string;
}

interface Stock extends Omit<GrantedPermits, 'count'> {
  count: number;
}

/** The permits of a daemon. */
export class LimitPermits {
  readonly #stocks = new Map<string, Stock[]>();
  readonly #roomAtMs = new Map<string, number>();

  /** Takes a grant. */
  add(serverId: string, granted: GrantedPermits): void {
    const stocks = this.#stocks.get(serverId) ?? [];
    stocks.push({ ...granted });
    this.#stocks.set(serverId, stocks);
  }

  /** Requests that may be sent to a server now. */
  countFor(serverId: string, nowMs: number): number {
    const stocks = this.#stocks.get(serverId) ?? [];
    return stocks.reduce((sum, stock) => sum + (stock.expiresAtMs > nowMs ? stock.count : 0), 0);
  }

  /** Requests that may be sent now, to all servers. */
  count(nowMs: number): number {
    return [...this.#stocks.keys()].reduce((sum, id) => sum + this.countFor(id, nowMs), 0);
  }

  /** Takes one for a request, and gives who granted it; undefined where there is none. */
  take(serverId: string, nowMs: number): Pick<GrantedPermits, 'granter'> | undefined {
    const isUsable = ({ expiresAtMs, count }: Stock) => expiresAtMs > nowMs && count > 0;
    const stock = this.#stocks.get(serverId)?.find(isUsable);
    if (stock === undefined) return undefined;
    stock.count -= 1;
    return { granter: stock.granter };
  }

  /** Takes out what is no longer valid. */
  takeExpired(nowMs: number): readonly UnusedPermits[] {
    const unused: UnusedPermits[] = [];
    for (const [serverId, stocks] of this.#stocks) {
      for (const { expiresAtMs, count, granter } of stocks) {
        if (expiresAtMs <= nowMs && count > 0) unused.push({ serverId, count, granter });
      }
      const left = stocks.filter(({ expiresAtMs, count }) => expiresAtMs > nowMs && count > 0);
      if (left.length === 0) this.#stocks.delete(serverId);
      else this.#stocks.set(serverId, left);
    }
    return unused;
  }

  /** Notes when this daemon may expect a permit. */
  expectAt(serverId: string, atMs: number): void {
    this.#roomAtMs.set(serverId, atMs);
  }

  /** Until a permit may be expected; 0 where that is not known. */
  expectedInMs(serverId: string, nowMs: number): number {
    return Math.max(0, (this.#roomAtMs.get(serverId) ?? nowMs) - nowMs);
  }

  /** A server has no limit any more, or is gone. */
  forget(serverId: string): void {
    this.#stocks.delete(serverId);
    this.#roomAtMs.delete(serverId);
  }
}
