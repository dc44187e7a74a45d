/**
 * How long engines take to read prompts (prefill) and to continue from a transferred KV cache, learnt from the times
 * that this daemon observes. Nothing is known of the engines beforehand: until the first answer, a prompt of typical
 * size is assumed to be read within its target latency.
 *
 * A read takes a fixed overhead and a time per token: a line fitted through the most recent samples, in which samples
 * that waited in a queue have little weight. A decode engine reads at half the pace of a prefill engine, as the
 * platform's documentation states.
 */
import { LineSamples, type LineSums } from './line-samples.js';
import { LowMean } from './low-mean.js';

/** Pace at which a decode engine reads, relative to a prefill engine (PROTOCOL.md, prefill and decode). */
const DECODE_PACE_RATIO = 0.5;
/** Factor by which each new sample reduces the weight of the older ones. */
const SAMPLE_DECAY = 0.97;
/** Samples longer than this many times the fitted time include a wait in the queue. */
const QUEUED_FACTOR = 1.3;
const QUEUED_WEIGHT = 0.1;
/** Total weight of samples from which on the line is used to detect those that waited. */
const TRUSTED_SAMPLES = 5;
/** Share of the target latency that a hand-over is assumed to take before the first one is observed. */
const INITIAL_HAND_OVER_SHARE = 0.1;
/** Decay factor of a line learnt by all daemons, which collect in a moment what one collects in minutes. */
const SHARED_DECAY = 0.995;

/** The learnt times of one service's engines. */
export class ReadSpeed {
  #msForToken: number | undefined;
  #overheadMs = 0;
  #initialHandOverMs = 0;
  readonly #samples: LineSamples;
  readonly #decodeOverheadMs = new LowMean();
  readonly #handOverMs = new LowMean();
  readonly #runs = new RunTimes();

  /** @param isShared whether the line is learnt together with other daemons */
  constructor(isShared = false) {
    this.#samples = new LineSamples(isShared ? SHARED_DECAY : SAMPLE_DECAY);
  }

  /** Whether there are enough samples to detect those that queued or come from an engine of another pace. */
  get isTrusted(): boolean {
    return this.#samples.weight >= TRUSTED_SAMPLES;
  }

  /** The sums that the line is fitted to, to be advertised to other daemons. */
  get line(): LineSums {
    return this.#samples.sums;
  }

  /** Whether any sample has been observed yet. */
  get isLearnt(): boolean {
    return this.#samples.weight > 0;
  }

  /**
   * Until the first sample: assumes that a prompt of typical size is read within its target latency.
   * @param typicalTokens KV-cache capacity of an engine divided by its slots
   */
  setInitialEstimate(typicalTokens: number, targetMs: number): void {
    if (this.#msForToken !== undefined || typicalTokens <= 0) return;
    this.#msForToken = targetMs / typicalTokens;
    this.#initialHandOverMs = targetMs * INITIAL_HAND_OVER_SHARE;
  }

  /**
   * Records a read of `tokens` at a prefill engine with no known queue before it.
   * @param pace the engine's pace relative to the typical one
   * @returns the weight given to the sample; 0 if it was unusable
   */
  learnPrefill(tokens: number, elapsedMs: number, pace = 1): number {
    if (tokens <= 0 || elapsedMs <= 0) return 0;
    const normalizedMs = elapsedMs * pace;
    const isQueued = this.isTrusted && normalizedMs > QUEUED_FACTOR * this.prefillMs(tokens);
    const weight = isQueued ? QUEUED_WEIGHT : 1;
    this.#samples.add(tokens, normalizedMs, weight);
    this.#fit();
    return weight;
  }

  /** Adds samples of other daemons. */
  addLine(observed: LineSums): void {
    this.#samples.merge(observed);
    this.#fit();
  }

  /** Replaces this daemon's samples by those that many daemons have collected. */
  replaceLine(fleetSums: LineSums): void {
    this.#samples.replace(fleetSums);
    this.#fit();
  }

  #fit(): void {
    const line = this.#samples.fit();
    this.#msForToken = line.slope;
    this.#overheadMs = line.offset;
  }

  /**
   * Records a read of `tokens` at a decode engine, up to the first generated token.
   * @param pace the engine's pace relative to the typical one
   */
  learnDecode(tokens: number, elapsedMs: number, pace = 1): void {
    this.#decodeOverheadMs.add(Math.max(0, elapsedMs * pace - this.decodeBusyMs(tokens)));
  }

  /** Records the time a decode engine took to fetch a KV cache and generate the first token. */
  learnHandOver(elapsedMs: number): void {
    this.#handOverMs.add(elapsedMs);
  }

  /** Records the time from the head to the end of a stream whose request allowed `maxTokens` output tokens. */
  learnRun(maxTokens: number, elapsedMs: number): void {
    this.#runs.add(maxTokens, elapsedMs);
  }

  /** Whether any run has ended yet. */
  get isRunLearnt(): boolean {
    return this.#runs.isLearnt;
  }

  /** Slot time of a run per token of the request's maximum output. */
  get tokenMs(): number {
    return this.#runs.msForToken;
  }

  /** Mean time that a run occupies its slot. */
  get runMs(): number {
    return this.#runs.meanMs;
  }

  /** Time until a prefill engine with an empty queue has read the tokens, overhead included. */
  prefillMs(tokens: number): number {
    return this.#overheadMs + this.prefillBusyMs(tokens);
  }

  /** Time until a decode engine with an empty queue has read the tokens and generates the first one. */
  decodeMs(tokens: number): number {
    return (this.#decodeOverheadMs.value ?? this.#overheadMs) + this.decodeBusyMs(tokens);
  }

  /** Time from the end of the read at one engine to the first token at another. */
  get handOverMs(): number {
    return this.#handOverMs.value ?? this.#initialHandOverMs;
  }

  /** Time for which the read occupies a prefill engine. */
  prefillBusyMs(tokens: number): number {
    return tokens * (this.#msForToken ?? 0);
  }

  /** Time for which the read occupies a decode engine. */
  decodeBusyMs(tokens: number): number {
    return this.prefillBusyMs(tokens) / DECODE_PACE_RATIO;
  }
}

/** Decaying sums over recent runs. Runs count by their length, as long ones occupy most of the slot time. */
class RunTimes {
  #runs = 0;
  #tokens = 0;
  #elapsedMs = 0;

  add(tokens: number, elapsedMs: number): void {
    this.#runs = this.#runs * SAMPLE_DECAY + 1;
    this.#tokens = this.#tokens * SAMPLE_DECAY + tokens;
    this.#elapsedMs = this.#elapsedMs * SAMPLE_DECAY + elapsedMs;
  }

  get isLearnt(): boolean {
    return this.#tokens > 0;
  }

  get msForToken(): number {
    return this.#tokens > 0 ? this.#elapsedMs / this.#tokens : 0;
  }

  get meanMs(): number {
    return this.#runs > 0 ? this.#elapsedMs / this.#runs : 0;
  }
}
