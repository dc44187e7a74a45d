/**
 * Limits the number of values of a metric's label. Every value creates a time series, and names such as
 * classes come from the operators' configuration.
 */

/** The label of all values beyond the limit. */
const OTHER_LABEL = 'other';

/** Keeps the first `maxValues` values; later values become `other`. */
export class BoundedLabel {
  readonly #values = new Set<string>();

  constructor(private readonly maxValues: number) {}

  /** The label to use for a value. */
  labelFor(value: string): string {
    if (this.#values.has(value)) return value;
    if (this.#values.size >= this.maxValues) return OTHER_LABEL;
    this.#values.add(value);
    return value;
  }
}
