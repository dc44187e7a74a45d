/**
 * The recently admitted cost of each class. Lanes compare it with the classes' shares, so that a class of higher
 * priority does not take all capacity.
 */
import type { ClassName } from '../common/identifiers.js';
import type { Milliseconds, MonotonicMs } from '../common/time.js';

/** The time in which recorded use decays to 1/e of its value. */
const DECAY_TIME_MS: Milliseconds = 5_000;
/** The minimum share of every class with requests waiting, so that strict priority starves none. */
export const MIN_CLASS_SHARE = 0.05;

/** Exponentially decaying use by class. Updated in place by its owner. */
export class ClassUse {
  readonly #use = new Map<ClassName, number>();
  #total = 0;
  #updatedAt: MonotonicMs = 0;

  /** Records the cost of an admitted request of a class. */
  add(className: ClassName, cost: number, now: MonotonicMs): void {
    this.#decay(now);
    this.#use.set(className, (this.#use.get(className) ?? 0) + cost);
    this.#total += cost;
  }

  /** The class's fraction of recent use, from 0 to 1. */
  shareOf(className: ClassName): number {
    return this.#total <= 0 ? 0 : (this.#use.get(className) ?? 0) / this.#total;
  }

  #decay(now: MonotonicMs): void {
    const factor = Math.exp(-Math.max(0, now - this.#updatedAt) / DECAY_TIME_MS);
    this.#updatedAt = now;
    if (factor === 1) {
      return;
    }
    this.#total = 0;
    for (const [className, use] of this.#use) {
      this.#use.set(className, use * factor);
      this.#total += use * factor;
    }
  }
}
