/** Samples of one engine's pace: a mean of logarithms whose evidence decays, and the pace that is estimated from it. */
import { quantizedPace } from './preferred-engine.js';

/**
 * Factor that each newer sample applies to a sample's weight. Machines are shared, so the speed that they deliver
 * changes.
 */
const SAMPLE_DECAY = 0.95;
/** Weight of the prior belief that an engine has the usual pace. */
const PRIOR_WEIGHT = 0.5;
/**
 * Half-life of evidence. An engine that is estimated to be slow is sent little, so old samples must not keep the
 * estimate low.
 */
const HALF_LIFE_MS = 30_000;
/** Largest plausible log pace, in either direction. */
const MAX_LOG_PACE = Math.log(8);
/** Log paces below this count as chance regardless of the number of samples: reads of one engine vary by more. */
const CHANCE_LOG_PACE = 0.07;
/** Further deviation by chance of one sample's log pace; a mean over samples has it divided by their weight. */
const CHANCE_LOG_OF_SAMPLE = 0.3;

/** Evidence for a pace. */
export interface ObservedPace {
  /** Mean logarithm of the pace. */
  readonly logPace: number;
  readonly weight: number;
}

/** The mean of the engines' log paces, weighted by the evidence for each. */
export class WeightedMean {
  #weight = 0;
  #logSum = 0;

  /** 0 while there is no evidence. */
  get value(): number {
    return this.#weight > 0 ? this.#logSum / this.#weight : 0;
  }

  add({ weight, logPace }: ObservedPace): void {
    this.#weight += weight;
    this.#logSum += weight * logPace;
  }

  remove({ weight, logPace }: ObservedPace): void {
    this.#weight -= weight;
    this.#logSum -= weight * logPace;
  }

  clear(): void {
    this.#weight = 0;
    this.#logSum = 0;
  }
}

/** Samples of one engine, with decaying weights. */
export class PaceSamples implements ObservedPace {
  #weight = 0;
  #logSum = 0;
  #atMs = 0;
  /** Current estimates, updated by `updatePace`. */
  pace = 1;
  quantizedPace = 1;

  get logPace(): number {
    return this.#weight > 0 ? this.#logSum / this.#weight : 0;
  }

  get weight(): number {
    return this.#weight;
  }

  weightAt(nowMs: number): number {
    return this.#weight * 0.5 ** (Math.max(0, nowMs - this.#atMs) / HALF_LIFE_MS);
  }

  add({ logPace, weight }: ObservedPace, nowMs: number): void {
    this.decayTo(nowMs);
    const left = SAMPLE_DECAY ** weight;
    this.#logSum = this.#logSum * left + weight * logPace;
    this.#weight = this.#weight * left + weight;
  }

  replace({ logPace, weight }: ObservedPace, nowMs: number): void {
    this.#weight = weight;
    this.#logSum = logPace * weight;
    this.#atMs = nowMs;
  }

  decayTo(nowMs: number): void {
    const weight = this.weightAt(nowMs);
    if (this.#weight > 0) this.#logSum *= weight / this.#weight;
    this.#weight = weight;
    this.#atMs = Math.max(this.#atMs, nowMs);
  }

  /** Recomputes the pace relative to the mean of all engines. */
  updatePace(meanLog: number): void {
    const share = this.#weight / (this.#weight + PRIOR_WEIGHT);
    const chance = CHANCE_LOG_PACE + CHANCE_LOG_OF_SAMPLE / (this.#weight + PRIOR_WEIGHT);
    this.pace = Math.exp(clampLogPace(suppressChance(share * (this.logPace - meanLog), chance)));
    this.quantizedPace = quantizedPace(this.pace, this.quantizedPace);
  }

  get sums(): ObservedPace {
    return { logPace: this.logPace, weight: this.#weight };
  }
}

/** Returns 0 up to the deviation by chance and the full value from twice that on, with a linear ramp between. */
function suppressChance(logPace: number, chance: number): number {
  const size = Math.abs(logPace);
  if (size >= 2 * chance) return logPace;
  return Math.sign(logPace) * Math.max(0, 2 * (size - chance));
}

/** Limits a log pace to the plausible range. */
export function clampLogPace(logPace: number): number {
  return Math.min(MAX_LOG_PACE, Math.max(-MAX_LOG_PACE, logPace));
}
