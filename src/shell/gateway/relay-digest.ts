/**
 * The digests of the zone's relay: how far each of the store's tables has changed. While the digest is fresh, a daemon
 * calls the store only for changes that the digest shows; when digests stop or show old data, the daemon follows the
 * tables itself. A digest is as old as it was when it was sent, and by its way to here: it counts from the moment after which it
 * was sent, not from its arrival. It carries no rows, so it can never replace newer rows by older ones.
 */
import type { TableDigest, TableProgress } from '../../core/gateway/index.js';
import { isAfter, type StorePosition } from '../../core/platform/store-position.js';
import type { TimerService } from './timer-service.js';

/** A table of the store that daemons follow. */
export type FollowedTable = 'configurations' | 'servers';

/** The state of the tables according to the digests of the own zone's relay. */
export class RelayDigest {
  readonly #timers: TimerService;
  readonly #maxAgeMs: number;
  readonly #maxSilenceMs: number;
  readonly #listeners = new Set<() => void>();
  #digest: TableDigest | undefined;
  #freshUntilMs = Number.NEGATIVE_INFINITY;
  #relayContactAtMs = Number.NEGATIVE_INFINITY;
  #relayName: string | undefined;

  /**
   * @param maxAgeMs the age up to which the relay's last contact with the store is relied on
   * @param maxSilenceMs how long after it was sent a digest is relied on if no other follows: the relay may have stalled
   */
  constructor(timers: TimerService, maxAgeMs: number, maxSilenceMs = maxAgeMs) {
    this.#timers = timers;
    this.#maxAgeMs = maxAgeMs;
    this.#maxSilenceMs = maxSilenceMs;
  }

  get isFresh(): boolean {
    return this.#timers.nowMs() < this.#freshUntilMs;
  }

  /** When the relay last had contact with the store, according to its digests. */
  get relayContactAtMs(): number {
    return this.#relayContactAtMs;
  }

  /** The relay that sent the last digest; undefined while none is fresh. */
  get relayName(): string | undefined {
    return this.isFresh ? this.#relayName : undefined;
  }

  /**
   * Merges a digest. A delayed one does not shorten the freshness of a newer one; one of an earlier era is ignored.
   * @param relayName who sent it
   * @param sentAfterMs it was sent after this moment; minus infinity if that is not known, so that it is not relied on
   */
  apply(digest: TableDigest, relayName?: string, sentAfterMs = this.#timers.nowMs()): void {
    const known = this.#digest;
    if (known !== undefined && isOfEarlierEra(digest, known)) return;
    this.#relayName = relayName;
    this.#relayContactAtMs = Math.max(this.#relayContactAtMs, sentAfterMs - digest.ageMs);
    const freshForMs = Math.min(this.#maxSilenceMs, this.#maxAgeMs - digest.ageMs);
    const freshUntilMs = sentAfterMs + freshForMs;
    this.#freshUntilMs = Math.max(this.#freshUntilMs, freshUntilMs);
    this.#digest = {
      configurations: newer(digest.configurations, known?.configurations),
      servers: newer(digest.servers, known?.servers),
      configurationVersion: newerVersion(digest, known),
      ageMs: digest.ageMs,
      peersChecksum: digest.peersChecksum,
    };
    for (const listener of [...this.#listeners]) listener();
  }

  /** The relay's checksum of the list of daemons; undefined while no digest is fresh. */
  get peersChecksum(): number | undefined {
    return this.isFresh ? this.#digest?.peersChecksum : undefined;
  }

  /** The configuration version that the relay has in force; 0 while it is not known. */
  get configurationVersion(): number {
    return this.#digest?.configurationVersion ?? 0;
  }

  /** How far the relay has followed a table; undefined before its first digest. */
  progressOf(table: FollowedTable): TableProgress | undefined {
    return this.#digest?.[table];
  }

  /** Whether the digest is fresh and the relay's era for the table is not older than `era`. */
  isFreshFor(table: FollowedTable, era: number): boolean {
    return this.isFresh && (this.#digest?.[table].era ?? era) >= era;
  }

  /** Whether the relay has fully read the table after a disturbance, at a later position than the given one. */
  wasReread(table: FollowedTable, position: StorePosition): boolean {
    const progress = this.#digest?.[table];
    if (progress === undefined) return false;
    return isAfter({ era: progress.era, revision: progress.reread }, position);
  }

  /** The revision up to which a table is unchanged since a position, according to the digest. */
  advance(table: FollowedTable, position: StorePosition): number {
    const { era, revision } = position;
    const progress = this.#digest?.[table];
    if (progress === undefined || progress.era !== era) return revision;
    return this.hasChanged(table, position) ? revision : Math.max(revision, progress.seen);
  }

  /** Ends the freshness of the digest because this daemon has become the relay. */
  drop(): void {
    this.#freshUntilMs = Number.NEGATIVE_INFINITY;
    for (const listener of [...this.#listeners]) listener();
  }

  /** Whether the table has changed after a position. */
  hasChanged(table: FollowedTable, position: StorePosition): boolean {
    const progress = this.#digest?.[table];
    if (progress === undefined) return false;
    return isAfter({ era: progress.era, revision: progress.changed }, position);
  }

  /** Waits while the digest is fresh and `isCurrent` holds. */
  async waitWhileCurrent(isCurrent: () => boolean, signal: AbortSignal): Promise<void> {
    while (!signal.aborted && this.isFresh && isCurrent()) {
      await this.#nextDigest(this.#freshUntilMs - this.#timers.nowMs(), signal);
    }
  }

  /** Waits for a fresh digest or the signal. */
  async waitUntilFresh(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.isFresh) await this.#nextDigest(undefined, signal);
  }

  /** Waits for the next digest, a time-out if one is given, or the signal, whichever comes first. */
  #nextDigest(maxWaitMs: number | undefined, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        cancel?.();
        this.#listeners.delete(finish);
        signal.removeEventListener('abort', finish);
        resolve();
      };
      const cancel = maxWaitMs === undefined ? undefined : this.#timers.after(maxWaitMs, finish);
      this.#listeners.add(finish);
      signal.addEventListener('abort', finish, { once: true });
    });
  }
}

/** The newer of two versions, or 0 if the relay reports none because it runs another release. */
function newerVersion(received: TableDigest, known: TableDigest | undefined): number {
  const { configurationVersion } = received;
  if (configurationVersion === 0) return 0;
  return Math.max(configurationVersion, known?.configurationVersion ?? 0);
}

function isOfEarlierEra(received: TableDigest, known: TableDigest): boolean {
  const { configurations, servers } = known;
  return received.configurations.era < configurations.era || received.servers.era < servers.era;
}

/** Merges the progress of a table; revisions of different eras are not compared. */
function newer(received: TableProgress, known: TableProgress | undefined): TableProgress {
  if (known === undefined || received.era > known.era) return received;
  return {
    era: received.era,
    changed: Math.max(received.changed, known.changed),
    seen: Math.max(received.seen, known.seen),
    reread: Math.max(received.reread, known.reread),
  };
}
