/**
 * How much each class has been let go lately, so that priority between classes is tempered by their
 * shares.
 */
import type { ClassName } from '../common/identifiers.js';
import type { Milliseconds, MonotonicMs } from '../common/time.js';

/** The time over which use fades to 1/e. */
const FADE_MS: Milliseconds = 5_000;
/** What every class that waits gets at least, so that priority alone starves none. */
export const MIN_CLASS_SHARE = 0.05;

/** Recent use by class. Updated in place by its owner. */
export class ClassUse {
  readonly #use = new Map<ClassName, number>();
  #total = 0;
  #at: MonotonicMs = 0;

  /** Notes work of a class that was let go. */
  add(className: ClassName, cost: number, now: MonotonicMs): void {
    this.#fade(now);
    this.#use.set(className, (this.#use.get(className) ?? 0) + cost);
    this.#total += cost;
  }

  /** The class's part of recent use, from 0 to 1. */
  shareOf(className: ClassName): number {
    return this.#total <= 0 ? 0 : (this.#use.get(className) ?? 0) / this.#total;
  }

  #fade(now: MonotonicMs): void {
    const kept = Math.exp(-Math.max(0, now - this.#at) / FADE_MS);
    this.#at = now;
    if (kept === 1) {
      return;
    }
    this.#total = 0;
    for (const [className, use] of this.#use) {
      this.#use.set(className, use * kept);
      this.#total += use * kept;
    }
  }
}
