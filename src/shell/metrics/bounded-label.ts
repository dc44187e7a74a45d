/**
 * Bounds the values of a metric's label. Every value makes a time series, and names such as classes
 * come from the operators' configuration.
 */

/** What values beyond the bound are counted under. */
const OTHER_LABEL = 'other';

/** Lets through the first values it sees, up to a bound; later ones become `other`. */
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
