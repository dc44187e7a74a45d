/** A timer service on a heap of events, for tests with many daemons; promise callbacks run between events. */
import { VirtualTime } from '../../../src/lab/scale/virtual-time.js';
import type { TimerService } from '../../../src/shell/gateway/timer-service.js';

/** Virtual time for whole fleets. */
export class VirtualTimers implements TimerService {
  readonly #time = new VirtualTime();
  #hasFired = false;

  nowMs(): number {
    return this.#time.now;
  }

  after(delayMs: number, callback: () => void): () => void {
    let isCancelled = false;
    this.#time.schedule(delayMs, () => {
      if (isCancelled) return;
      this.#hasFired = true;
      callback();
    });
    return () => {
      isCancelled = true;
    };
  }

  /** Advances the time; everything that an event triggers runs before the next event. */
  async advanceUntil(endMs: number): Promise<void> {
    await settled();
    while (this.#time.now < endMs) {
      this.#hasFired = false;
      this.#time.runWhile(() => !this.#hasFired, endMs);
      if (this.#hasFired) await settled();
    }
  }
}

/** Lets all pending callbacks run that do not wait for a timer. */
function settled(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
