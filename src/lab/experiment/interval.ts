/** Means with confidence intervals from Student's t distribution. */

/** A mean with its 95 % confidence interval; the bounds are null for fewer than two values. */
export interface Estimate {
  readonly mean: number;
  readonly low: number | null;
  readonly high: number | null;
}

/** The 97.5 % quantiles of the t distribution for 1 to 30 degrees of freedom. */
const T_QUANTILES = [
  12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.16, 2.145,
  2.131, 2.12, 2.11, 2.101, 2.093, 2.086, 2.08, 2.074, 2.069, 2.064, 2.06, 2.056, 2.052, 2.048,
  2.045, 2.042,
] as const;
/** The quantile for more degrees of freedom; at most 4 % below the exact value for 31 and more. */
const NORMAL_QUANTILE = 1.96;

/** The mean of independent values with its confidence interval. */
export function estimate(values: readonly number[]): Estimate {
  const count = values.length;
  const mean = values.reduce((sum, value) => sum + value, 0) / Math.max(1, count);
  if (count < 2) return { mean, low: null, high: null };
  const squares = values.reduce((sum, value) => sum + (value - mean) ** 2, 0);
  const standardError = Math.sqrt(squares / (count - 1) / count);
  const half = (T_QUANTILES[count - 2] ?? NORMAL_QUANTILE) * standardError;
  return { mean, low: mean - half, high: mean + half };
}
