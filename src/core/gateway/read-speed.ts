/**
 * How long engines take to read prompts and to go on from a memory that is moved to them, learnt from
 * what this daemon sees. Nothing is known of an engine beforehand; until the first answer a prompt of a
 * usual size is supposed to be read within its target latency.
 *
 * Reading takes an overhead and a time for each token: a line through the newest samples, in which
 * samples that waited for others count little. An engine that also generates reads at half the pace,
 * as the platform's pages say.
 */
import { LineSamples, type LineSums } from './line-samples.js';
import { LowMean } from './low-mean.js';

/** Pace of an engine that also generates, against one that only reads (PROTOCOL.md, prefill and decode). */
const DECODE_PACE_RATIO = 0.5;
/** What is left of a sample's weight with each newer one. */
const SAMPLE_DECAY = 0.97;
/** Times so much longer than the line says include a wait for others. */
const QUEUED_FACTOR = 1.3;
const QUEUED_WEIGHT = 0.1;
/** Samples before the line is trusted to tell which ones waited. */
const TRUSTED_SAMPLES = 5;
/** Part of the target that a hand-over is supposed to take before one is seen. */
const SUPPOSED_HAND_OVER_SHARE = 0.1;
/** The same of a line that all daemons learn together: they see as much in a moment as one in minutes. */
const SHARED_DECAY = 0.995;

/** The pace of one service's engines. */
export class ReadSpeed {
  #msForToken: number | undefined;
  #overheadMs = 0;
  #supposedHandOverMs = 0;
  readonly #samples: LineSamples;
  readonly #decodeOverheadMs = new LowMean();
  readonly #handOverMs = new LowMean();
  readonly #runs = new RunTimes();

  /** @param isShared whether the line is learnt with other daemons */
  constructor(isShared = false) {
    this.#samples = new LineSamples(isShared ? SHARED_DECAY : SAMPLE_DECAY);
  }

  /** Whether enough was seen to tell which samples waited, or are another engine's pace. */
  get isTrusted(): boolean {
    return this.#samples.weight >= TRUSTED_SAMPLES;
  }

  /** What the line is made of, to be told to other daemons. */
  get line(): LineSums {
    return this.#samples.sums;
  }

  /** Whether anything has been seen yet. */
  get isLearnt(): boolean {
    return this.#samples.weight > 0;
  }

  /**
   * Before anything is seen: a prompt of a usual size would be read within its target.
   * @param usualTokens what an engine's memory holds for each of its slots
   */
  setInitialEstimate(usualTokens: number, targetMs: number): void {
    if (this.#msForToken !== undefined || usualTokens <= 0) return;
    this.#msForToken = targetMs / usualTokens;
    this.#supposedHandOverMs = targetMs * SUPPOSED_HAND_OVER_SHARE;
  }

  /**
   * A prefill engine read so many tokens, nobody known waiting before them.
   * @param pace the engine's own, against the usual one
   * @returns the weight that the sample has; 0 where it was none
   */
  learnPrefill(tokens: number, elapsedMs: number, pace = 1): number {
    if (tokens <= 0 || elapsedMs <= 0) return 0;
    const usualMs = elapsedMs * pace;
    const isQueued = this.isTrusted && usualMs > QUEUED_FACTOR * this.prefillMs(tokens);
    const weight = isQueued ? QUEUED_WEIGHT : 1;
    this.#samples.add(tokens, usualMs, weight);
    this.#fit();
    return weight;
  }

  /** Adds what other daemons have seen. */
  addLine(seen: LineSums): void {
    this.#samples.merge(seen);
    this.#fit();
  }

  /** Takes what many daemons know in place of what this one does. */
  replaceLine(known: LineSums): void {
    this.#samples.replace(known);
    this.#fit();
  }

  #fit(): void {
    const line = this.#samples.fit();
    this.#msForToken = line.slope;
    this.#overheadMs = line.offset;
  }

  /**
   * A decode engine read so many tokens and began to generate.
   * @param pace the engine's own, against the usual one
   */
  learnDecode(tokens: number, elapsedMs: number, pace = 1): void {
    this.#decodeOverheadMs.add(Math.max(0, elapsedMs * pace - this.decodeBusyMs(tokens)));
  }

  /** A decode engine took a moved memory and began to generate. */
  learnHandOver(elapsedMs: number): void {
    this.#handOverMs.add(elapsedMs);
  }

  /** A stream of at most so many tokens took this long from its head to its end. */
  learnRun(mostTokens: number, elapsedMs: number): void {
    this.#runs.add(mostTokens, elapsedMs);
  }

  /** Time in a slot for each of the tokens that a request asks for at most. */
  get tokenMs(): number {
    return this.#runs.msForToken;
  }

  /** Time of a run in its slot, over all runs. */
  get runMs(): number {
    return this.#runs.meanMs;
  }

  /** How long a prefill engine takes to answer. */
  prefillMs(tokens: number): number {
    return this.#overheadMs + this.prefillBusyMs(tokens);
  }

  /** How long a decode engine takes to its first token. */
  decodeMs(tokens: number): number {
    return (this.#decodeOverheadMs.value ?? this.#overheadMs) + this.decodeBusyMs(tokens);
  }

  /** From the end of reading until the first token at another engine. */
  get handOverMs(): number {
    return this.#handOverMs.value ?? this.#supposedHandOverMs;
  }

  /** How long a prefill engine is taken up. */
  prefillBusyMs(tokens: number): number {
    return tokens * (this.#msForToken ?? 0);
  }

  /** How long a decode engine is taken up. */
  decodeBusyMs(tokens: number): number {
    return this.prefillBusyMs(tokens) / DECODE_PACE_RATIO;
  }
}

/** Sums over the newest runs. Long runs count by their length, as they take up most of the slots. */
class RunTimes {
  #runs = 0;
  #tokens = 0;
  #elapsedMs = 0;

  add(tokens: number, elapsedMs: number): void {
    this.#runs = this.#runs * SAMPLE_DECAY + 1;
    this.#tokens = this.#tokens * SAMPLE_DECAY + tokens;
    this.#elapsedMs = this.#elapsedMs * SAMPLE_DECAY + elapsedMs;
  }

  get msForToken(): number {
    return this.#tokens > 0 ? this.#elapsedMs / this.#tokens : 0;
  }

  get meanMs(): number {
    return this.#runs > 0 ? this.#elapsedMs / this.#runs : 0;
  }
}
