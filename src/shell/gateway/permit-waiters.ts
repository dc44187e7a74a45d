/**
 * Requests that wait a moment for a permit, as all servers that could take them name limits. The most urgent go first,
 * and of those alike the one that came first.
 */
import type { CancelTimer, TimerService } from './timer-service.js';

/** Who waits. */
export interface PermitWait {
  readonly service: string;
  /** 0 the most urgent. */
  readonly rank: number;
  readonly arrivedAtMs: number;
  readonly mostMs: number;
  readonly signal: AbortSignal;
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

  /** Requests of a service that wait. */
  countOf(service: string): number {
    return this.#of(service).length;
  }

  /** Resolves with whether it is worth another try; false when the time is over, or the caller is gone. */
  wait(wait: PermitWait): Promise<boolean> {
    return new Promise((resolve) => {
      let cancel: CancelTimer = () => undefined;
      const giveUp = () => waiter.end(false);
      const waiter: Waiter = {
        ...wait,
        end: (mayTry) => {
          cancel();
          wait.signal.removeEventListener('abort', giveUp);
          this.#waiters.delete(waiter);
          resolve(mayTry);
        },
      };
      this.#waiters.add(waiter);
      wait.signal.addEventListener('abort', giveUp, { once: true });
      cancel = this.#timers.after(wait.mostMs, giveUp);
    });
  }

  /** So many requests of a service may try now. */
  wake(service: string, count: number): void {
    const waiting = [...this.#of(service)].sort(
      (left, right) => left.rank - right.rank || left.arrivedAtMs - right.arrivedAtMs,
    );
    for (const waiter of waiting.slice(0, count)) waiter.end(true);
  }

  #of(service: string): readonly Waiter[] {
    return [...this.#waiters].filter((waiter) => waiter.service === service);
  }
}
