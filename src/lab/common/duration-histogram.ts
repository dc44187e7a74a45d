/** Durations in an HDR histogram, in microseconds with three significant digits. */
import { build, type Histogram } from 'hdr-histogram-js';
import type { Milliseconds } from '../../core/common/time.js';

const MICROSECONDS_PER_MS = 1_000;

/** Percentiles in milliseconds; null without recorded values. */
export interface Percentiles {
  readonly count: number;
  readonly p50Ms: number | null;
  readonly p95Ms: number | null;
  readonly p99Ms: number | null;
}

/** A histogram of durations. */
export class DurationHistogram {
  readonly #histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    numberOfSignificantValueDigits: 3,
  });

  /** Records a duration; a negative one counts as 0. */
  record(durationMs: Milliseconds): void {
    this.#histogram.recordValue(Math.max(0, Math.round(durationMs * MICROSECONDS_PER_MS)));
  }

  /** Removes all recorded values. */
  reset(): void {
    this.#histogram.reset();
  }

  /** One percentile in milliseconds; null without recorded values. */
  at(percentile: number): Milliseconds | null {
    const histogram = this.#histogram;
    if (histogram.totalCount === 0) return null;
    return histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  }

  /** The percentiles shown in reports. */
  percentiles(): Percentiles {
    const { totalCount: count } = this.#histogram;
    return { count, p50Ms: this.at(50), p95Ms: this.at(95), p99Ms: this.at(99) };
  }
}
