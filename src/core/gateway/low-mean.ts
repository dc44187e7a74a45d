/** A smoothed time that favours shorter samples, because longer ones include waits for other requests. */

const SHORTER_WEIGHT = 0.3;
const LONGER_WEIGHT = 0.03;

/** Smooths samples of a time toward its value without waits. */
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
