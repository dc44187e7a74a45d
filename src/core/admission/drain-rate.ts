/**
 * The rate at which a lane's queue drains: dispatched cost per millisecond, as an exponentially decaying average.
 * Only time in which requests wait counts.
 */
import type { Milliseconds, MonotonicMs } from '../common/time.js';

/** The time in which a measurement decays to 1/e of its weight. */
const DECAY_TIME_MS: Milliseconds = 5_000;
/** No rate is reported before requests have waited for this long in total. */
const MIN_MEASURED_MS: Milliseconds = 100;

/** Measures the drain rate of one lane. Updated in place by its owner. */
export class DrainRate {
  #cost = 0;
  #busyMs = 0;
  #measuredUpTo: MonotonicMs | null = null;

  /** Records that requests are waiting, from now on or still. */
  busy(now: MonotonicMs): void {
    if (this.#measuredUpTo !== null) {
      this.#advance(Math.max(0, now - this.#measuredUpTo));
    }
    this.#measuredUpTo = now;
  }

  /** Records that no requests wait from now on. */
  idle(now: MonotonicMs): void {
    this.busy(now);
    this.#measuredUpTo = null;
  }

  /** Records the cost of a waiting request that was dispatched. */
  served(cost: number): void {
    this.#cost += cost;
  }

  /** Cost dispatched per millisecond while requests wait; null before enough waiting time was measured. */
  get perMs(): number | null {
    return this.#busyMs < MIN_MEASURED_MS ? null : this.#cost / this.#busyMs;
  }

  #advance(elapsed: Milliseconds): void {
    const factor = Math.exp(-elapsed / DECAY_TIME_MS);
    this.#cost *= factor;
    this.#busyMs = this.#busyMs * factor + DECAY_TIME_MS * (1 - factor);
  }
}
