/** A smoothed time that leans to the shorter samples, as longer ones include waits for others. */

const SHORTER_WEIGHT = 0.3;
const LONGER_WEIGHT = 0.03;

/** The mean of an undisturbed time. */
export class LowMean {
  #value: number | undefined;

  /** Undefined before the first sample. */
  get value(): number | undefined {
    return this.#value;
  }

  add(sample: number): void {
    const current = this.#value;
    if (current === undefined) {
      this.#value = sample;
      return;
    }
    const weight = sample < current ? SHORTER_WEIGHT : LONGER_WEIGHT;
    this.#value = current + weight * (sample - current);
  }
}
