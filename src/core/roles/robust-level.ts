/**
 * A forecast of one noisy quantity (Holt's method with a damped trend) that is robust to bursts:
 * the error of an outlier is limited to two standard deviations, and only consecutive outliers on
 * the same side are treated as a shift. Works on logarithms, so that errors are relative.
 */

/** The state of a forecast. */
export interface RobustLevel {
  readonly level: number;
  readonly trend: number;
  /** The smoothed square of one-step errors. */
  readonly variance: number;
  /** The number of consecutive outliers on one side; the sign gives the side. */
  readonly outliers: number;
  /** The sum of the observations of that run of outliers. */
  readonly outlierSum: number;
  readonly observations: number;
}

/** The share of an error that is added to the level, for an observation of many requests. */
const LEVEL_GAIN = 0.2;
const TREND_GAIN = 0.01;
const TREND_DAMPING = 0.9;
const VARIANCE_GAIN = 0.05;
const FIRST_VARIANCE = 0.1;
/** The minimum variance, so that small changes of a steady quantity are not treated as outliers. */
const MIN_VARIANCE = 0.01;
const OUTLIER_DEVIATIONS = 2;
/** The weight of an outlier in the level. */
const OUTLIER_WEIGHT = 0.25;
/** The number of consecutive outliers treated as a shift: 90 s at one observation per 10 s. */
const SHIFT_AFTER_OUTLIERS = 9;
/** The number of requests at which an observation has half of its full weight. */
const HALF_WEIGHT_REQUESTS = 5;

/** Starts a forecast from its first observation. */
export function firstLevel(value: number): RobustLevel {
  return {
    level: value,
    trend: 0,
    variance: FIRST_VARIANCE,
    outliers: 0,
    outlierSum: 0,
    observations: 1,
  };
}

/** Updates the forecast with an observation that is a mean over `requests` requests. */
export function observeLevel(known: RobustLevel, value: number, requests: number): RobustLevel {
  const expected = known.level + known.trend;
  const error = value - expected;
  const bound = OUTLIER_DEVIATIONS * Math.sqrt(known.variance);
  const run = countOutlier(known, value, error, bound);
  if (Math.abs(run.outliers) >= SHIFT_AFTER_OUTLIERS) {
    return afterShift(known, run);
  }
  const weight = requests / (requests + HALF_WEIGHT_REQUESTS);
  const trusted = run.outliers === 0 ? 1 : OUTLIER_WEIGHT;
  const gain = Math.max(LEVEL_GAIN, 1 / (known.observations + 1)) * weight * trusted;
  const bounded = Math.max(-bound, Math.min(bound, error));
  const squared = bounded * bounded;
  const variance = known.variance + VARIANCE_GAIN * weight * (squared - known.variance);
  return {
    level: expected + gain * bounded,
    trend: TREND_DAMPING * known.trend + TREND_GAIN * weight * bounded,
    variance: Math.max(MIN_VARIANCE, variance),
    ...run,
    observations: known.observations + 1,
  };
}

type OutlierRun = Pick<RobustLevel, 'outliers' | 'outlierSum'>;

function countOutlier(known: RobustLevel, value: number, error: number, bound: number): OutlierRun {
  if (Math.abs(error) <= bound) {
    return { outliers: 0, outlierSum: 0 };
  }
  const side = Math.sign(error);
  if (Math.sign(known.outliers) !== side) {
    return { outliers: side, outlierSum: value };
  }
  return { outliers: known.outliers + side, outlierSum: known.outlierSum + value };
}

/** Sets the level to the mean of the run of outliers, and keeps the variance. */
function afterShift(known: RobustLevel, run: OutlierRun): RobustLevel {
  return {
    level: run.outlierSum / Math.abs(run.outliers),
    trend: 0,
    variance: known.variance,
    outliers: 0,
    outlierSum: 0,
    observations: known.observations + 1,
  };
}
