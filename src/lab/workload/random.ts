/** Seeded random numbers for workloads, with one independent stream per purpose. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/** Spreads stream numbers over the seeds (the golden ratio as a 32-bit fraction). */
const STREAM_STRIDE = 0x9e3779b9;

/** A generator that yields the same numbers for the same seed and stream. */
export class Random {
  private readonly generator: RandomGenerator;

  constructor(seed: number, stream = 0) {
    this.generator = xoroshiro128plus((seed + Math.imul(stream, STREAM_STRIDE)) | 0);
  }

  /** A number in [0, 1). */
  unit(): number {
    return uniformFloat64(this.generator);
  }

  /** An integer between both bounds, inclusive. */
  integer(low: number, high: number): number {
    return uniformInt(this.generator, low, high);
  }

  /** A draw from the standard normal distribution (Box-Muller). */
  normal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.unit()));
    return radius * Math.cos(2 * Math.PI * this.unit());
  }

  /** An inter-arrival time of a Poisson process, in the time unit of the rate. */
  exponential(rate: number): number {
    return -Math.log(1 - this.unit()) / rate;
  }
}
