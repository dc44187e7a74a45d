/** The duration of steps, and the smoothed speeds that reports contain. */
import type { StepPlan } from './batch.js';
import type { EngineSettings } from './options.js';

/** Weight of a new observation in the exponential moving averages. */
const SMOOTHING_FACTOR = 0.2;
const MS_PER_SECOND = 1_000;

/** Computes step durations and tracks the observed speeds. */
export class StepClock {
  readonly #settings: EngineSettings;
  readonly #draw: () => number;
  #prefillTokensPerSecond = 0;
  #decodeStepMs = 0;

  /** @param draw gives numbers in [0, 1) */
  constructor(settings: EngineSettings, draw: () => number) {
    this.#settings = settings;
    this.#draw = draw;
  }

  get prefillTokensPerSecond(): number {
    return this.#prefillTokensPerSecond;
  }

  get decodeStepMs(): number {
    return this.#decodeStepMs;
  }

  /** The duration of a step in milliseconds. */
  duration(plan: StepPlan): number {
    const { profile, speedFactor, stepJitter } = this.#settings;
    const cost =
      profile.baseStepMs +
      plan.prefillTokens * profile.prefillMsPerToken +
      plan.work.length * profile.batchMsPerSequence +
      plan.residentTokens * profile.kvMsPerToken;
    const jitter = 1 + stepJitter * (2 * this.#draw() - 1);
    return (cost * jitter) / speedFactor;
  }

  /** Adds a completed step to the smoothed speeds. */
  observe(plan: StepPlan, durationMs: number): void {
    if (plan.prefillTokens > 0) {
      const speed = (plan.prefillTokens * MS_PER_SECOND) / durationMs;
      this.#prefillTokensPerSecond = smooth(this.#prefillTokensPerSecond, speed);
    }
    if (plan.decodeSequences > 0) this.#decodeStepMs = smooth(this.#decodeStepMs, durationMs);
  }

  /** Estimated time to prefill the tokens, in whole seconds, at least 1. */
  prefillSeconds(tokens: number): number {
    const { profile, speedFactor } = this.#settings;
    const readMs = (tokens * profile.prefillMsPerToken) / speedFactor;
    return Math.max(1, Math.ceil(readMs / MS_PER_SECOND));
  }
}

function smooth(previous: number, observed: number): number {
  return previous === 0 ? observed : previous + SMOOTHING_FACTOR * (observed - previous);
}
