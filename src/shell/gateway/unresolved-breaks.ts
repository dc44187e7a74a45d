/**
 * Runs that broke off at a server which then took a connection: it may have started again so quickly that it seemed
 * never to have ended. Its next life in the list tells; that comes within moments, or there is none.
 */
import type { ServerRecord } from '../../core/gateway/index.js';
import type { TimerService } from './timer-service.js';

/** A start is listed by then: changes of the list are gathered, and a daemon may have to ask for them again. */
const LISTED_WITHIN_MS = 3_000;
/** As many as a few servers run; more would have to end within the same moments. */
const MOST_OPEN = 512;

/** A run that broke. */
export interface UnresolvedBreak {
  /** The life that it ran in. */
  readonly server: ServerRecord;
  readonly fingerprint: string;
  readonly ranMs: number;
  readonly atMs: number;
}

/** Breaks of which it is not known yet whether their server ended. */
export class UnresolvedBreaks {
  readonly #timers: TimerService;
  /** In the order of their time. */
  #open: readonly UnresolvedBreak[] = [];

  constructor(timers: TimerService) {
    this.#timers = timers;
  }

  add(broken: UnresolvedBreak): void {
    if (broken.server.bornMs === undefined) return;
    this.#open = [...this.#recent(), broken].slice(-MOST_OPEN);
  }

  /** Takes out those in lives of a server before this one. */
  takeFromEarlierBoots({ id, bornMs }: ServerRecord): readonly UnresolvedBreak[] {
    if (this.#open.length === 0 || bornMs === undefined) return [];
    const isBefore = ({ server }: UnresolvedBreak) =>
      server.id === id && server.bornMs !== undefined && server.bornMs < bornMs;
    const recent = this.#recent();
    this.#open = recent.filter((broken) => !isBefore(broken));
    return recent.filter(isBefore);
  }

  #recent(): readonly UnresolvedBreak[] {
    const sinceMs = this.#timers.nowMs() - LISTED_WITHIN_MS;
    return this.#open.filter(({ atMs }) => atMs >= sinceMs);
  }
}
