/**
 * What the relay of a zone says of the store's tables: how far each has changed. While its digest is fresh
 * a daemon asks the store only for changes that it says there are; when it stays out, or is old, the
 * daemon follows the tables by itself. The digest carries no rows, so nothing it says can set a daemon back.
 */
import type { TableDigest, TableProgress } from '../../core/gateway/index.js';
import { isAfter, type StorePosition } from '../../core/platform/store-position.js';
import type { TimerService } from './timer-service.js';

/** A table that daemons follow. */
export type FollowedTable = 'configurations' | 'servers';

/** The newest digest of the own zone's relay. */
export class RelayDigest {
  readonly #timers: TimerService;
  readonly #maxAgeMs: number;
  readonly #listeners = new Set<() => void>();
  #digest: TableDigest | undefined;
  #freshUntilMs = Number.NEGATIVE_INFINITY;

  /** @param maxAgeMs how old a look at the store may be that is relied on */
  constructor(timers: TimerService, maxAgeMs: number) {
    this.#timers = timers;
    this.#maxAgeMs = maxAgeMs;
  }

  get isFresh(): boolean {
    return this.#timers.nowMs() < this.#freshUntilMs;
  }

  /** When the relay last looked at the store, as far as its digests say. */
  get relayContactAtMs(): number {
    return this.#freshUntilMs - this.#maxAgeMs;
  }

  /** Takes a digest; one that was delayed makes none fresh that is older, and one of an era before says nothing. */
  apply(digest: TableDigest): void {
    const known = this.#digest;
    if (known !== undefined && isOfEarlierEra(digest, known)) return;
    const freshUntilMs = this.#timers.nowMs() + this.#maxAgeMs - digest.ageMs;
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

  /** The relay's checksum of the list of daemons; undefined while there is no fresh digest. */
  get peersChecksum(): number | undefined {
    return this.isFresh ? this.#digest?.peersChecksum : undefined;
  }

  /** The version of the configuration that the relay has in force; 0 while it is not known. */
  get configurationVersion(): number {
    return this.#digest?.configurationVersion ?? 0;
  }

  /** How far the relay has followed a table; undefined before its first digest. */
  progressOf(table: FollowedTable): TableProgress | undefined {
    return this.#digest?.[table];
  }

  /** Whether a fresh digest can be relied on for a table: its relay is in no era of the store before this one. */
  isFreshFor(table: FollowedTable, era: number): boolean {
    return this.isFresh && (this.#digest?.[table].era ?? era) >= era;
  }

  /** Whether the relay has read the table whole, after a disturbance, since a place in its history. */
  wasReread(table: FollowedTable, position: StorePosition): boolean {
    const progress = this.#digest?.[table];
    if (progress === undefined) return false;
    return isAfter({ era: progress.era, revision: progress.reread }, position);
  }

  /** How far a daemon that has followed a table to a place is by the relay's digest: nothing changed. */
  advance(table: FollowedTable, position: StorePosition): number {
    const { era, revision } = position;
    const progress = this.#digest?.[table];
    if (progress === undefined || progress.era !== era) return revision;
    return this.hasChanged(table, position) ? revision : Math.max(revision, progress.seen);
  }

  /** No relay's digest is to be relied on any more, as this daemon is the relay. */
  drop(): void {
    this.#freshUntilMs = Number.NEGATIVE_INFINITY;
    for (const listener of [...this.#listeners]) listener();
  }

  /** Whether the table has changed beyond a place in its history. */
  hasChanged(table: FollowedTable, position: StorePosition): boolean {
    const progress = this.#digest?.[table];
    if (progress === undefined) return false;
    return isAfter({ era: progress.era, revision: progress.changed }, position);
  }

  /** While the digest is fresh and says that there is nothing to look for. */
  async waitWhileCurrent(isCurrent: () => boolean, signal: AbortSignal): Promise<void> {
    while (!signal.aborted && this.isFresh && isCurrent()) {
      await this.#nextDigest(this.#freshUntilMs - this.#timers.nowMs(), signal);
    }
  }

  /** Until there is a fresh digest, or the signal. */
  async waitUntilFresh(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.isFresh) await this.#nextDigest(undefined, signal);
  }

  /** Until the next digest, the end of a time if there is one, or the signal, whichever comes first. */
  #nextDigest(mostMs: number | undefined, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        cancel?.();
        this.#listeners.delete(finish);
        signal.removeEventListener('abort', finish);
        resolve();
      };
      const cancel = mostMs === undefined ? undefined : this.#timers.after(mostMs, finish);
      this.#listeners.add(finish);
      signal.addEventListener('abort', finish, { once: true });
    });
  }
}

/** A relay that says none, as it is of another release, leaves its followers without one. */
function newerVersion(told: TableDigest, known: TableDigest | undefined): number {
  const { configurationVersion } = told;
  if (configurationVersion === 0) return 0;
  return Math.max(configurationVersion, known?.configurationVersion ?? 0);
}

function isOfEarlierEra(told: TableDigest, known: TableDigest): boolean {
  const { configurations, servers } = known;
  return told.configurations.era < configurations.era || told.servers.era < servers.era;
}

/** Revisions of two eras say nothing of each other. */
function newer(told: TableProgress, known: TableProgress | undefined): TableProgress {
  if (known === undefined || told.era > known.era) return told;
  return {
    era: told.era,
    changed: Math.max(told.changed, known.changed),
    seen: Math.max(told.seen, known.seen),
    reread: Math.max(told.reread, known.reread),
  };
}
