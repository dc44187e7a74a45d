/**
 * Correction of forecasts of one kind: the smoothed ratio of observed to forecast times. It decays to 1 while nothing
 * is observed.
 */

const NEWEST_WEIGHT = 0.1;
const HALF_LIFE_MS = 2_000;
const MIN_RATIO = 0.25;
const MAX_RATIO = 8;

/** Keeps the correction factor for the next forecast. */
export class ForecastScale {
  #logRatio = 0;
  #atMs = 0;

  add(forecastMs: number, observedMs: number, nowMs: number): void {
    if (forecastMs <= 0) return;
    const ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, observedMs / forecastMs));
    const current = this.#decayed(nowMs);
    this.#logRatio = current + NEWEST_WEIGHT * (Math.log(ratio) - current);
    this.#atMs = nowMs;
  }

  factor(nowMs: number): number {
    return Math.exp(this.#decayed(nowMs));
  }

  #decayed(nowMs: number): number {
    return this.#logRatio * 0.5 ** ((nowMs - this.#atMs) / HALF_LIFE_MS);
  }
}
