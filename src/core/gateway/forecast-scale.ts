/**
 * How forecasts of one kind came out lately: the smoothed ratio of what was seen to what was forecast.
 * It goes back to 1 while nothing is seen.
 */

const NEWEST_WEIGHT = 0.1;
const HALF_LIFE_MS = 2_000;
const LEAST_RATIO = 0.25;
const MOST_RATIO = 8;

/** A factor for the next forecast. */
export class ForecastScale {
  #logRatio = 0;
  #atMs = 0;

  add(forecastMs: number, seenMs: number, nowMs: number): void {
    if (forecastMs <= 0) return;
    const ratio = Math.min(MOST_RATIO, Math.max(LEAST_RATIO, seenMs / forecastMs));
    const current = this.#faded(nowMs);
    this.#logRatio = current + NEWEST_WEIGHT * (Math.log(ratio) - current);
    this.#atMs = nowMs;
  }

  factor(nowMs: number): number {
    return Math.exp(this.#faded(nowMs));
  }

  #faded(nowMs: number): number {
    return this.#logRatio * 0.5 ** ((nowMs - this.#atMs) / HALF_LIFE_MS);
  }
}
