/** The values that something has now and had lately, such as the software versions of a service's servers. */

/** Values that were last seen longer ago than this are forgotten; no stream lives as long. */
const FORGET_MS = 3_600_000;

/** A set that changes over time, with the time at which each value was last in it. */
export class RecentValues {
  readonly #lastSeenMs = new Map<string, number>();
  #present: ReadonlySet<string> = new Set();
  #sinceMs: number | undefined;

  /** Replaces the present values. @returns whether a value was added */
  observe(present: ReadonlySet<string>, nowMs: number): boolean {
    this.#sinceMs ??= nowMs;
    for (const value of this.#present) this.#lastSeenMs.set(value, nowMs);
    const isAdded = [...present].some((value) => !this.#present.has(value));
    this.#present = present;
    for (const [value, seenMs] of this.#lastSeenMs) {
      if (nowMs - seenMs > FORGET_MS) this.#lastSeenMs.delete(value);
    }
    return isAdded;
  }

  /** The values that are present now or were within the time. */
  within(spanMs: number, nowMs: number): readonly string[] {
    const values = new Set(this.#present);
    for (const [value, seenMs] of this.#lastSeenMs) {
      if (nowMs - seenMs <= spanMs) values.add(value);
    }
    return [...values];
  }

  /** Whether the values of the whole time are known. */
  isKnownFor(spanMs: number, nowMs: number): boolean {
    return this.#sinceMs !== undefined && nowMs - this.#sinceMs >= spanMs;
  }
}
