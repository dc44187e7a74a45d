/**
 * Runs that broke off at a server which then accepted a connection: it either kept running, or restarted so quickly that
 * the check could not see it exit. A later boot in the server list within `LISTED_WITHIN_MS` shows that it restarted.
 */
import type { ServerRecord } from '../../core/gateway/index.js';
import type { TimerService } from './timer-service.js';

/** A start is listed within this time: changes of the list arrive in batches, and a daemon may have to retry fetching them. */
const LISTED_WITHIN_MS = 3_000;
/** Memory limit, as many runs as a few servers have at once; more would need many servers to exit at the same time. */
const MAX_UNRESOLVED = 512;

/** A run that broke. */
export interface UnresolvedBreak {
  /** The record of the boot that it ran on. */
  readonly server: ServerRecord;
  /** Empty while the secret of fingerprints is not known. */
  readonly fingerprint: string;
  readonly attemptId: string;
  /** The parts of its prompt that may have ended the server. */
  readonly partSubjects: readonly string[];
  readonly ranMs: number;
  readonly atMs: number;
}

/** Broken runs for which it is not yet known whether their server exited. */
export class UnresolvedBreaks {
  readonly #timers: TimerService;
  /** In the order of `atMs`. */
  #unresolved: readonly UnresolvedBreak[] = [];

  constructor(timers: TimerService) {
    this.#timers = timers;
  }

  add(broken: UnresolvedBreak): void {
    if (broken.server.bornMs === undefined) return;
    this.#unresolved = [...this.#recent(), broken].slice(-MAX_UNRESOLVED);
  }

  /** Removes and returns the recent runs on earlier boots of this server. */
  takeFromEarlierBoots({ id, bornMs }: ServerRecord): readonly UnresolvedBreak[] {
    if (this.#unresolved.length === 0 || bornMs === undefined) return [];
    const isBefore = ({ server }: UnresolvedBreak) =>
      server.id === id && server.bornMs !== undefined && server.bornMs < bornMs;
    const recent = this.#recent();
    this.#unresolved = recent.filter((broken) => !isBefore(broken));
    return recent.filter(isBefore);
  }

  #recent(): readonly UnresolvedBreak[] {
    const sinceMs = this.#timers.nowMs() - LISTED_WITHIN_MS;
    return this.#unresolved.filter(({ atMs }) => atMs >= sinceMs);
  }
}
