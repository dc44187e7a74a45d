/**
 * Bounds how long the bytes of callers keep the event loop in one turn: it goes through all connections in each, and with a
 * thousand of them that send what is slow to parse, readiness checks, timers and the store would wait for seconds.
 */
import type { TimerService } from './timer-service.js';

const MAX_TURN_MS = 25;

/** The time that is left in this turn of the event loop for the bytes of callers. */
export class TurnBudget {
  readonly #timers: Pick<TimerService, 'nowMs'>;
  #deferred: (() => void)[] = [];
  #beganMs: number | undefined;
  #isTurnScheduled = false;

  constructor(timers: Pick<TimerService, 'nowMs'>) {
    this.#timers = timers;
  }

  /** Whether more may be parsed in this turn. */
  get hasTime(): boolean {
    if (this.#beganMs === undefined) {
      this.#beganMs = this.#timers.nowMs();
      this.#scheduleTurn();
    }
    return this.#timers.nowMs() - this.#beganMs < MAX_TURN_MS;
  }

  /** Calls back in the next turn, after those that were deferred before. */
  defer(goOn: () => void): void {
    this.#deferred.push(goOn);
    this.#scheduleTurn();
  }

  #scheduleTurn(): void {
    if (this.#isTurnScheduled) return;
    this.#isTurnScheduled = true;
    setImmediate(this.#beginTurn);
  }

  readonly #beginTurn = (): void => {
    this.#isTurnScheduled = false;
    this.#beganMs = undefined;
    const deferred = this.#deferred;
    this.#deferred = [];
    for (const goOn of deferred) goOn();
  };
}
