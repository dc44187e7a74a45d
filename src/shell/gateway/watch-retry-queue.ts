/**
 * The queue in which a daemon's store watches wait to retry. While the store answers none of them, the watches retry
 * one at a time, so that the store gets no more calls than from a single watch; its first answer releases all of them
 * at once.
 */
import type { CancelTimer, TimerService } from './timer-service.js';

/** A watch that waits to retry. */
interface WaitingWatch {
  /** How long the watch waits once it is first in the queue. */
  readonly waitMs: number;
  /** Time limit of its call; after that the next watch gets its turn, even if this one has made no call. */
  readonly callMs: number;
  readonly go: () => void;
}

/** The retry queue of one daemon's watches. */
export class WatchRetryQueue {
  readonly #timers: Pick<TimerService, 'after'>;
  #waiting: readonly WaitingWatch[] = [];
  /** Timer of the turn under way; undefined once its call has ended or timed out. */
  #cancelCallTimer: CancelTimer | undefined;
  #cancelWaitTimer: CancelTimer | undefined;

  constructor(timers: Pick<TimerService, 'after'>) {
    this.#timers = timers;
  }

  /** Waits for a turn to retry after a failed call; aborting the signal ends the wait at once. */
  waitForTurn({ waitMs, callMs }: Omit<WaitingWatch, 'go'>, signal: AbortSignal): Promise<void> {
    this.#endTurn();
    return new Promise((resolve) => {
      const go = () => {
        signal.removeEventListener('abort', cancel);
        resolve();
      };
      const waiting = { waitMs, callMs, go };
      const cancel = () => {
        this.#remove(waiting);
        resolve();
      };
      if (signal.aborted) return resolve();
      signal.addEventListener('abort', cancel, { once: true });
      this.#waiting = [...this.#waiting, waiting];
      this.#scheduleNext();
    });
  }

  /** Releases all watches, as the store has answered one of them. */
  recordStoreAnswer(): void {
    this.#endTurn();
    this.#cancelNext();
    const released = this.#waiting;
    this.#waiting = [];
    for (const { go } of released) go();
  }

  #remove(waiting: WaitingWatch): void {
    const wasNext = this.#waiting[0] === waiting;
    this.#waiting = this.#waiting.filter((other) => other !== waiting);
    if (wasNext) this.#cancelNext();
    this.#scheduleNext();
  }

  /** Starts the wait of the first watch in the queue, unless another watch has its turn. */
  #scheduleNext(): void {
    const [first] = this.#waiting;
    if (first === undefined || this.#cancelCallTimer !== undefined) return;
    this.#cancelWaitTimer ??= this.#timers.after(first.waitMs, () => this.#startTurn(first));
  }

  #startTurn({ callMs, go }: WaitingWatch): void {
    this.#cancelWaitTimer = undefined;
    this.#waiting = this.#waiting.slice(1);
    this.#cancelCallTimer = this.#timers.after(callMs, () => {
      this.#cancelCallTimer = undefined;
      this.#scheduleNext();
    });
    go();
  }

  #endTurn(): void {
    this.#cancelCallTimer?.();
    this.#cancelCallTimer = undefined;
  }

  #cancelNext(): void {
    this.#cancelWaitTimer?.();
    this.#cancelWaitTimer = undefined;
  }
}
