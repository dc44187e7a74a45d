/**
 * Requests that wait briefly for a permit, as all servers that could take them name limits. The most urgent go first;
 * among equally urgent ones, the one that arrived first.
 */
import type { CancelTimer, TimerService } from './timer-service.js';

/** A request that waits. */
export interface PermitWait {
  readonly service: string;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly arrivedAtMs: number;
  /** The longest wait. */
  readonly mostMs: number;
  readonly signal: AbortSignal;
  /** Whether the stop of this daemon may cut the request off. */
  readonly isCutByStop: () => boolean;
}

interface Waiter extends PermitWait {
  readonly end: (mayTry: boolean) => void;
}

/** The waiting requests of a daemon. */
export class PermitWaiters {
  readonly #timers: TimerService;
  readonly #waiters = new Set<Waiter>();

  constructor(timers: TimerService) {
    this.#timers = timers;
  }

  /** Number of waiting requests of a service. */
  countOf(service: string): number {
    return this.#of(service).length;
  }

  /** Resolves with whether to try again; false at the time-out or when the caller disconnects. */
  wait(wait: PermitWait): Promise<boolean> {
    return new Promise((resolve) => {
      let cancel: CancelTimer = () => undefined;
      const abandon = () => waiter.end(false);
      const waiter: Waiter = {
        ...wait,
        end: (mayTry) => {
          cancel();
          wait.signal.removeEventListener('abort', abandon);
          this.#waiters.delete(waiter);
          resolve(mayTry);
        },
      };
      this.#waiters.add(waiter);
      wait.signal.addEventListener('abort', abandon, { once: true });
      cancel = this.#timers.after(wait.mostMs, abandon);
    });
  }

  /** Lets up to `count` waiting requests of a service try again. */
  wake(service: string, count: number): void {
    const waiting = [...this.#of(service)].sort(
      (left, right) => left.rank - right.rank || left.arrivedAtMs - right.arrivedAtMs,
    );
    for (const waiter of waiting.slice(0, count)) waiter.end(true);
  }

  /** Ends the waits of the requests that the stop of this daemon may cut off. */
  endCutByStop(): void {
    for (const waiter of [...this.#waiters]) {
      if (waiter.isCutByStop()) waiter.end(false);
    }
  }

  #of(service: string): readonly Waiter[] {
    return [...this.#waiters].filter((waiter) => waiter.service === service);
  }
}
