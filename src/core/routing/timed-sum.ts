/**
 * A list of amounts in time order with a cheap sum of those added after a given time. Callers must
 * pass times that never decrease, so that earlier amounts can be discarded.
 */
import type { MonotonicMs } from '../common/time.js';

/** Maximum number of entries. Further amounts are added to the last entry, under its time. */
const MAX_ENTRIES = 512;

/** A sum of amounts over a window whose start moves forward. Updated in place. */
export class TimedSum {
  readonly #times: MonotonicMs[] = [];
  readonly #amounts: number[] = [];
  #first = 0;
  #total = 0;

  /** Adds an amount. Times must not decrease. */
  add(at: MonotonicMs, amount: number): void {
    this.#total += amount;
    if (this.#times.length - this.#first >= MAX_ENTRIES) {
      const last = this.#amounts.length - 1;
      this.#amounts[last] = (this.#amounts[last] ?? 0) + amount;
      return;
    }
    this.#times.push(at);
    this.#amounts.push(amount);
  }

  /** The sum of the amounts added after `moment`. Discards the earlier ones. */
  sumAfter(moment: MonotonicMs): number {
    if (this.#total === 0 || (this.#times[this.#first] ?? 0) > moment) {
      return this.#total;
    }
    while (this.#first < this.#times.length && (this.#times[this.#first] ?? 0) <= moment) {
      this.#total -= this.#amounts[this.#first] ?? 0;
      this.#first += 1;
    }
    this.#compact();
    return this.#total;
  }

  #compact(): void {
    if (this.#first === this.#times.length) {
      this.#times.length = 0;
      this.#amounts.length = 0;
      this.#first = 0;
      this.#total = 0;
    } else if (this.#first >= MAX_ENTRIES) {
      this.#times.splice(0, this.#first);
      this.#amounts.splice(0, this.#first);
      this.#first = 0;
    }
  }
}
