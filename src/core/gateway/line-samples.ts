/** A line through weighted points, older ones fading: sums that several observers can add up. */

/** Spread of the places of points, against their mean, below which they show no slope of their own. */
const LEAST_SPREAD = 0.15;

/** Weighted sums of points. */
export interface LineSums {
  readonly weight: number;
  readonly x: number;
  readonly y: number;
  readonly xx: number;
  readonly xy: number;
}

/** Sums of squares may be off by so much for rounding. */
const ROUNDING = 1.001;

/** A line of least squares. */
export interface Line {
  readonly slope: number;
  readonly offset: number;
}

const NO_POINTS: LineSums = { weight: 0, x: 0, y: 0, xx: 0, xy: 0 };

/** Points, summed up. */
export class LineSamples {
  readonly #decay: number;
  #sums = NO_POINTS;

  /** @param decay what is left of a point's weight with each newer one of weight 1 */
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

  /** Adds points that were summed up elsewhere, as the newest. */
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

  /** Takes sums in place of these. */
  replace(sums: LineSums): void {
    this.#sums = sums;
  }

  clear(): void {
    this.#sums = NO_POINTS;
  }

  /** The line of least squares; through zero where the points are too much alike to show one. */
  fit(): Line {
    const { weight, x, y, xx, xy } = this.#sums;
    const meanX = x / weight;
    const meanY = y / weight;
    const variance = xx / weight - meanX * meanX;
    const slope = (xy / weight - meanX * meanY) / variance;
    const isShown = variance > (LEAST_SPREAD * meanX) ** 2 && slope > 0;
    const offset = meanY - slope * meanX;
    return isShown && offset > 0 ? { slope, offset } : { slope: meanY / meanX, offset: 0 };
  }
}

/** Whether sums can come from points right of zero and above it. */
export function isPossibleLine({ weight, x, y, xx, xy }: LineSums): boolean {
  const isPositive = [weight, x, y, xx, xy].every((sum) => Number.isFinite(sum) && sum > 0);
  // The mean of squares is never below the square of the mean, but for rounding.
  return isPositive && (xx / weight) * ROUNDING >= (x / weight) ** 2;
}
