/** The forecast of a pool's demand: requests per second and tokens per request. */
import { firstLevel, observeLevel, type RobustLevel } from './robust-level.js';

/** The requests that arrived in a time window, estimated for the complete fleet. */
export interface DemandWindow {
  readonly windowMs: number;
  readonly requests: number;
  readonly promptTokens: number;
  /** Estimated, as the length of an output is known only at its end. */
  readonly outputTokens: number;
}

/** The state of the forecast; null before the first request. */
export interface DemandForecast {
  readonly promptTokens: RobustLevel;
  readonly outputTokens: RobustLevel;
  readonly requestsPerSecond: number;
}

/** The demand expected over the planning horizon. */
export interface ExpectedDemand {
  readonly requestsPerSecond: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Standard deviation of the logarithm of the ratio of prompt to output tokens. */
  readonly mixDeviation: number;
}

const RATE_GAIN = 0.2;
const MS_PER_SECOND = 1_000;
/** Observations required before the forecast is used: 3 minutes at one per 10 s. */
const MIN_OBSERVATIONS = 18;

/** Updates the forecast with a window. */
export function observeDemand(
  known: DemandForecast | null,
  window: DemandWindow,
): DemandForecast | null {
  const rate = (window.requests * MS_PER_SECOND) / Math.max(1, window.windowMs);
  if (window.requests < 1) {
    return known === null ? null : { ...known, requestsPerSecond: smoothedRate(known, rate) };
  }
  const prompt = Math.log(Math.max(1, window.promptTokens / window.requests));
  const output = Math.log(Math.max(1, window.outputTokens / window.requests));
  if (known === null) {
    return {
      promptTokens: firstLevel(prompt),
      outputTokens: firstLevel(output),
      requestsPerSecond: rate,
    };
  }
  return {
    promptTokens: observeLevel(known.promptTokens, prompt, window.requests),
    outputTokens: observeLevel(known.outputTokens, output, window.requests),
    requestsPerSecond: smoothedRate(known, rate),
  };
}

/** The demand expected over the horizon, or null below `MIN_OBSERVATIONS`. */
export function expectDemand(known: DemandForecast | null): ExpectedDemand | null {
  if (known === null || known.promptTokens.observations < MIN_OBSERVATIONS) {
    return null;
  }
  const { promptTokens, outputTokens, requestsPerSecond } = known;
  return {
    requestsPerSecond,
    promptTokens: Math.exp(promptTokens.level),
    outputTokens: Math.exp(outputTokens.level),
    mixDeviation: Math.sqrt(promptTokens.variance + outputTokens.variance),
  };
}

function smoothedRate(known: DemandForecast, rate: number): number {
  return known.requestsPerSecond + RATE_GAIN * (rate - known.requestsPerSecond);
}
