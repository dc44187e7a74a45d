/**
 * Models the speed of an engine as a function of its load, from its reports. A reported step time
 * holds for the load at which it was measured. The fit of step time against load is a property of
 * the engine, which remains valid when the report is old.
 */
import type { Milliseconds } from '../common/time.js';
import type { EngineLoad } from '../registry/backend.js';

/** Prefill speed of an engine that has not reported one. */
const DEFAULT_PREFILL_TOKENS_PER_SECOND = 4_000;
/** Decode step time of an engine that has not reported one. */
const DEFAULT_DECODE_STEP_MS: Milliseconds = 25;
/** Factor by which the weight of earlier reports decreases with each new report. */
const DECAY_PER_REPORT = 0.97;
/** Weight of a new report in the exponentially smoothed prefill speed. */
const PREFILL_SMOOTHING = 0.1;
/** Weight of the prior slope, in reports; it dominates until reports at different loads arrive. */
const PRIOR_WEIGHT = 4;
/**
 * Prior growth of the step time from an empty to a full batch, as a share of the mean step time.
 */
const PRIOR_GROWTH = 0.6;

/** A weighted linear regression of step time on running requests. Updated in place. */
export class SpeedModel {
  #weight = 0;
  #runningSum = 0;
  #stepSum = 0;
  #runningSquaredSum = 0;
  #productSum = 0;
  #prefillSpeed = 0;

  /** Adds the load of a new report. */
  observe(load: EngineLoad): void {
    if (load.prefillTokensPerSecond > 0) {
      const change = load.prefillTokensPerSecond - this.#prefillSpeed;
      this.#prefillSpeed += this.#prefillSpeed === 0 ? change : PREFILL_SMOOTHING * change;
    }
    if (load.decodeStepMs > 0 && load.running > 0) {
      this.#observeStep(load.running, load.decodeStepMs);
    }
  }

  /** Prompt tokens that the engine prefills per second. */
  get prefillTokensPerSecond(): number {
    return this.#prefillSpeed > 0 ? this.#prefillSpeed : DEFAULT_PREFILL_TOKENS_PER_SECOND;
  }

  /** The expected time of a decode step with `running` requests in the batch. */
  stepMs(running: number, maxBatch: number): Milliseconds {
    if (this.#weight === 0) {
      return DEFAULT_DECODE_STEP_MS;
    }
    const meanRunning = this.#runningSum / this.#weight;
    const meanStep = this.#stepSum / this.#weight;
    const slope = this.#slope(meanRunning, meanStep, maxBatch);
    const step = meanStep + slope * (Math.min(running, maxBatch) - meanRunning);
    return Math.max(meanStep * 0.2, step);
  }

  #observeStep(running: number, step: Milliseconds): void {
    this.#weight = this.#weight * DECAY_PER_REPORT + 1;
    this.#runningSum = this.#runningSum * DECAY_PER_REPORT + running;
    this.#stepSum = this.#stepSum * DECAY_PER_REPORT + step;
    this.#runningSquaredSum = this.#runningSquaredSum * DECAY_PER_REPORT + running * running;
    this.#productSum = this.#productSum * DECAY_PER_REPORT + running * step;
  }

  #slope(meanRunning: number, meanStep: number, maxBatch: number): number {
    const priorSlope = (PRIOR_GROWTH * meanStep) / maxBatch;
    const variance = this.#runningSquaredSum - this.#weight * meanRunning * meanRunning;
    const covariance = this.#productSum - this.#weight * meanRunning * meanStep;
    const priorVariance = PRIOR_WEIGHT * (maxBatch / 8) ** 2;
    const slope =
      (covariance + priorVariance * priorSlope) / (Math.max(0, variance) + priorVariance);
    return Math.max(0, slope);
  }
}
