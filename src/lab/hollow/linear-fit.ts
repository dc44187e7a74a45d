/** Linear regression by least squares. */

/** One measurement. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A fitted line with its coefficient of determination. */
export interface LinearFit {
  readonly slope: number;
  readonly intercept: number;
  /** The share of the variance that the line explains, 1 for points on the line; null if all y are equal. */
  readonly rSquared: number | null;
}

/** Fits a line; null with fewer than two distinct x. */
export function fitLine(points: readonly Point[]): LinearFit | null {
  const meanX = mean(points.map(({ x }) => x));
  const meanY = mean(points.map(({ y }) => y));
  const sumOfSquaresX = sum(points.map(({ x }) => (x - meanX) ** 2));
  if (sumOfSquaresX === 0 || points.length === 0) {
    return null;
  }
  const slope = sum(points.map(({ x, y }) => (x - meanX) * (y - meanY))) / sumOfSquaresX;
  const intercept = meanY - slope * meanX;
  const sumOfSquaresY = sum(points.map(({ y }) => (y - meanY) ** 2));
  const residual = sum(points.map(({ x, y }) => (y - intercept - slope * x) ** 2));
  return { slope, intercept, rSquared: sumOfSquaresY === 0 ? null : 1 - residual / sumOfSquaresY };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function mean(values: readonly number[]): number {
  return sum(values) / values.length;
}
