/** A least-squares line through points with decaying weights, kept as sums, which several observers can add up. */

/** Standard deviation of the points' x, relative to their mean, below which they do not determine a slope. */
const MIN_RELATIVE_STD_DEV = 0.15;

/** Weighted sums of points. */
export interface LineSums {
  readonly weight: number;
  readonly x: number;
  readonly y: number;
  readonly xx: number;
  readonly xy: number;
}

/** Tolerance for rounding errors in the sums of squares. */
const ROUNDING_TOLERANCE = 1.001;

/** A least-squares line. */
export interface Line {
  readonly slope: number;
  readonly offset: number;
}

const NO_POINTS: LineSums = { weight: 0, x: 0, y: 0, xx: 0, xy: 0 };

/** Accumulates points into sums. */
export class LineSamples {
  readonly #decay: number;
  #sums = NO_POINTS;

  /** @param decay factor that a newer point of weight 1 applies to a point's weight */
  constructor(decay: number) {
    this.#decay = decay;
  }

  get sums(): LineSums {
    return this.#sums;
  }

  get weight(): number {
    return this.#sums.weight;
  }

  add(x: number, y: number, weight: number): void {
    const [xx, xy] = [weight * (x * x), weight * (x * y)];
    this.merge({ weight, x: weight * x, y: weight * y, xx, xy });
  }

  /** Adds points that were summed up elsewhere; they count as the newest. */
  merge(newer: LineSums): void {
    const left = this.#decay ** newer.weight;
    const older = this.#sums;
    this.#sums = {
      weight: older.weight * left + newer.weight,
      x: older.x * left + newer.x,
      y: older.y * left + newer.y,
      xx: older.xx * left + newer.xx,
      xy: older.xy * left + newer.xy,
    };
  }

  replace(sums: LineSums): void {
    this.#sums = sums;
  }

  clear(): void {
    this.#sums = NO_POINTS;
  }

  /**
   * The least-squares line, or a line through the origin if the points are too close together to determine a slope, or
   * give no positive slope and offset.
   */
  fit(): Line {
    const { weight, x, y, xx, xy } = this.#sums;
    const meanX = x / weight;
    const meanY = y / weight;
    const variance = xx / weight - meanX * meanX;
    const slope = (xy / weight - meanX * meanY) / variance;
    const isDetermined = variance > (MIN_RELATIVE_STD_DEV * meanX) ** 2 && slope > 0;
    const offset = meanY - slope * meanX;
    return isDetermined && offset > 0 ? { slope, offset } : { slope: meanY / meanX, offset: 0 };
  }
}

/** Whether the sums can come from points with positive coordinates. */
export function isPossibleLine({ weight, x, y, xx, xy }: LineSums): boolean {
  const isPositive = [weight, x, y, xx, xy].every((sum) => Number.isFinite(sum) && sum > 0);
  // The mean of squares is at least the square of the mean, except for rounding.
  return isPositive && (xx / weight) * ROUNDING_TOLERANCE >= (x / weight) ** 2;
}
