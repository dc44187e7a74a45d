/**
 * How fast an engine is at a given load, learnt from its reports. A report's step time was measured
 * at the load of that moment; fitted against that load it becomes a property of the engine, which
 * stays true when the report is old.
 */
import type { Milliseconds } from '../common/time.js';
import type { EngineLoad } from '../registry/backend.js';

/** Prefill speed taken for an engine that has not measured its own; assumed. */
const DEFAULT_PREFILL_TOKENS_PER_SECOND = 4_000;
/** Decode step time taken for an engine that has not measured its own; assumed. */
const DEFAULT_DECODE_STEP_MS: Milliseconds = 25;
/** How much of the fit an older report keeps with each new one. */
const DECAY_PER_REPORT = 0.97;
/** The part of a report's prefill speed that the smoothed one takes over. */
const PREFILL_SMOOTHING = 0.1;
/** The weight, in reports, of the slope assumed before reports of different loads were seen. */
const PRIOR_WEIGHT = 4;
/** The assumed growth of a step from an empty to a full batch, as a share of its mean. */
const PRIOR_GROWTH = 0.6;

/** A weighted straight line of step time over running requests. Updated in place. */
export class SpeedModel {
  #weight = 0;
  #runningSum = 0;
  #stepSum = 0;
  #runningSquaredSum = 0;
  #productSum = 0;
  #prefillSpeed = 0;

  /** Takes over a new report's load. */
  observe(load: EngineLoad): void {
    if (load.prefillTokensPerSecond > 0) {
      const change = load.prefillTokensPerSecond - this.#prefillSpeed;
      this.#prefillSpeed += this.#prefillSpeed === 0 ? change : PREFILL_SMOOTHING * change;
    }
    if (load.decodeStepMs > 0 && load.running > 0) {
      this.#observeStep(load.running, load.decodeStepMs);
    }
  }

  /** Prompt tokens read a second. */
  get prefillTokensPerSecond(): number {
    return this.#prefillSpeed > 0 ? this.#prefillSpeed : DEFAULT_PREFILL_TOKENS_PER_SECOND;
  }

  /** The expected time of a decode step with so many requests in the batch. */
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
