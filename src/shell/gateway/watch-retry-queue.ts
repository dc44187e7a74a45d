/**
 * The retries of a daemon's watches. While the store answers none of them they take turns, so that it is asked as
 * seldom as by one alone; its first answer sends all of them on at once.
 */
import type { CancelTimer, TimerService } from './timer-service.js';

/** A watch that waits for its turn. */
interface Waiting {
  /** From when it is the next one. */
  readonly waitMs: number;
  /** How long its call may take; the next turn is not given up for one that makes none. */
  readonly callMs: number;
  readonly go: () => void;
}

/** Turns of the watches of one daemon. */
export class WatchRetryQueue {
  readonly #timers: Pick<TimerService, 'after'>;
  #waiting: readonly Waiting[] = [];
  /** Until the watch whose turn it is has said what came of its call. */
  #cancelTaken: CancelTimer | undefined;
  #cancelTurn: CancelTimer | undefined;

  constructor(timers: Pick<TimerService, 'after'>) {
    this.#timers = timers;
  }

  /** Waits for a turn to call again, after a call that failed; the signal ends the wait at once. */
  waitForTurn({ waitMs, callMs }: Omit<Waiting, 'go'>, signal: AbortSignal): Promise<void> {
    this.#release();
    return new Promise((resolve) => {
      const go = () => {
        signal.removeEventListener('abort', leave);
        resolve();
      };
      const waiting = { waitMs, callMs, go };
      const leave = () => {
        this.#remove(waiting);
        resolve();
      };
      if (signal.aborted) return resolve();
      signal.addEventListener('abort', leave, { once: true });
      this.#waiting = [...this.#waiting, waiting];
      this.#arm();
    });
  }

  /** The store has answered one of the watches. */
  recordStoreAnswer(): void {
    this.#release();
    this.#disarm();
    const all = this.#waiting;
    this.#waiting = [];
    for (const { go } of all) go();
  }

  #remove(waiting: Waiting): void {
    const wasNext = this.#waiting[0] === waiting;
    this.#waiting = this.#waiting.filter((other) => other !== waiting);
    if (wasNext) this.#disarm();
    this.#arm();
  }

  /** Gives the next its turn after its wait, unless one has it. */
  #arm(): void {
    const [first] = this.#waiting;
    if (first === undefined || this.#cancelTaken !== undefined) return;
    this.#cancelTurn ??= this.#timers.after(first.waitMs, () => this.#give(first));
  }

  #give({ callMs, go }: Waiting): void {
    this.#cancelTurn = undefined;
    this.#waiting = this.#waiting.slice(1);
    this.#cancelTaken = this.#timers.after(callMs, () => {
      this.#cancelTaken = undefined;
      this.#arm();
    });
    go();
  }

  #release(): void {
    this.#cancelTaken?.();
    this.#cancelTaken = undefined;
  }

  #disarm(): void {
    this.#cancelTurn?.();
    this.#cancelTurn = undefined;
  }
}
