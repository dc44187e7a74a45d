/**
 * The time over which a daemon has known without a gap what a table of the store holds. In a gap rows can come and go, so
 * what the table did not show before it and does not show after it may have been there.
 */
export class FollowedSpan {
  readonly #maxGapMs: number;
  #sinceMs: number | undefined;
  #asOfMs = Number.NEGATIVE_INFINITY;

  /** @param maxGapMs the longest time between two moments as of which the table is known, without a gap */
  constructor(maxGapMs: number) {
    this.#maxGapMs = maxGapMs;
  }

  /**
   * Records that the contents of the table are known.
   * @param asOfMs a moment that is no later than the one as of which they are known
   * @param nowMs after a gap they are vouched for from here on: between the two the table may have changed
   */
  record(asOfMs: number, nowMs: number): void {
    if (asOfMs - this.#asOfMs > this.#maxGapMs) this.#sinceMs = undefined;
    this.#sinceMs ??= nowMs;
    this.#asOfMs = Math.max(this.#asOfMs, asOfMs);
  }

  /** Records that what was known is void, as after a restore of the store. */
  restart(): void {
    this.#sinceMs = undefined;
    this.#asOfMs = Number.NEGATIVE_INFINITY;
  }

  /** How long the table has been followed; undefined if it is not followed now. */
  lengthMs(nowMs: number): number | undefined {
    if (this.#sinceMs === undefined || nowMs - this.#asOfMs > this.#maxGapMs) return undefined;
    return nowMs - this.#sinceMs;
  }
}
