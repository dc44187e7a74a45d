/**
 * Derives several pseudo-random draws from the single entropy value of a step, with the mulberry32
 * generator, so that a decision is a deterministic function of its inputs.
 */

/** A generator seeded with a step's entropy. */
export class RandomDraws {
  #state: number;

  constructor(entropy: number) {
    this.#state = entropy >>> 0;
  }

  /** An integer from 0 to `limit` - 1. */
  below(limit: number): number {
    this.#state = (this.#state + 0x6d2b79f5) >>> 0;
    let mixed = this.#state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((((mixed ^ (mixed >>> 14)) >>> 0) * limit) / 0x1_0000_0000) | 0;
  }
}
