/**
 * What was seen of one engine's pace: a mean of logarithms whose evidence fades, and the pace that is believed by it.
 */
import { quantizedPace } from './preferred-engine.js';

/** What is left of a sample's weight with each newer one: machines are shared, and what they give changes. */
const SAMPLE_DECAY = 0.95;
/** A sample of this weight says as much as the belief that an engine is as the others. */
const PRIOR_WEIGHT = 0.5;
/** An engine that is believed to be slow is sent little: what was seen of it long ago must not keep it so. */
const HALF_LIFE_MS = 30_000;
/** Beyond this a figure is nonsense, not a pace. */
const MOST_LOG_PACE = Math.log(8);
/** Logarithms below this are chance, however many samples there are: the reads of one engine differ by more. */
const CHANCE_LOG_PACE = 0.07;
/** By chance alone one sample, or a mean of so many, is off by so much more. */
const CHANCE_LOG_OF_SAMPLE = 0.3;

/** What was seen of a pace. */
export interface ObservedPace {
  /** Mean logarithm of the pace. */
  readonly logPace: number;
  readonly weight: number;
}

/** The mean of the engines' logarithms, by what was seen of each. */
export class WeightedMean {
  #weight = 0;
  #logSum = 0;

  /** 0 while there is none. */
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

/** Samples of one engine, older ones fading. */
export class PaceSamples implements ObservedPace {
  #weight = 0;
  #logSum = 0;
  #atMs = 0;
  /** As they are used, worked out when something is learnt. */
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

  /** Works the pace out against the mean of all engines. */
  updatePace(meanLog: number): void {
    const share = this.#weight / (this.#weight + PRIOR_WEIGHT);
    const chance = CHANCE_LOG_PACE + CHANCE_LOG_OF_SAMPLE / (this.#weight + PRIOR_WEIGHT);
    this.pace = Math.exp(clampLogPace(withoutChance(share * (this.logPace - meanLog), chance)));
    this.quantizedPace = quantizedPace(this.pace, this.quantizedPace);
  }

  get sums(): ObservedPace {
    return { logPace: this.logPace, weight: this.#weight };
  }
}

/** None up to what chance makes, and all of it from twice that on, without a jump between. */
function withoutChance(logPace: number, chance: number): number {
  const size = Math.abs(logPace);
  if (size >= 2 * chance) return logPace;
  return Math.sign(logPace) * Math.max(0, 2 * (size - chance));
}

/** Within what can be a pace. */
export function clampLogPace(logPace: number): number {
  return Math.min(MOST_LOG_PACE, Math.max(-MOST_LOG_PACE, logPace));
}
