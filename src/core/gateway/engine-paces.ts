/**
 * Learns the pace of each engine of a service, relative to the usual engine: one with a pace of 1.7 reads a prompt in
 * 1/1.7 of the time that the service's line predicts, and generates as much faster. The line gives the read time as a
 * linear function of the prompt's tokens.
 *
 * A pace is a mean of logarithms over reads that did not queue, observed by this daemon and by others. An estimate from
 * few samples is shrunk toward the usual pace according to their weight. Differences that chance produces among equal
 * engines count as none, so that equal engines are treated as having the same pace.
 *
 * The line and the paces are learnt from the same reads, each with the help of the other. The usual pace is therefore
 * defined as the mean over all observed engines; otherwise the line and the paces could drift together without bound.
 */
import { isPossibleLine, LineSamples, type LineSums } from './line-samples.js';
import { clampLogPace, type ObservedPace, PaceSamples, WeightedMean } from './pace-samples.js';
import type { ReadSpeed } from './read-speed.js';

/**
 * Weight of a read that took longer than the engine's pace predicts: it may include an unknown wait or a temporary
 * slowdown. Busy engines have more of these without being slower.
 */
const SLOWER_READ_WEIGHT = 0.15;
/** Difference of logarithms by which reads of one engine vary without such a wait or slowdown. */
const SLOWER_READ_LOG = 0.05;
/** Weight of first-token samples from which their bias against the line is used. */
const MIN_BIAS_WEIGHT = 5;
/**
 * An estimate received from a relay replaces this daemon's own unless its weight is below this share of the own weight.
 */
const MIN_RECEIVED_WEIGHT_SHARE = 0.5;
/**
 * Largest weight that is accepted in a message for an engine or a line; the weights that daemons hold stay below it.
 */
const MAX_WEIGHT = 1_000;
/** Largest share of the elapsed time that is deducted as wait; an expected wait beyond it was a wrong estimate. */
const MAX_WAIT_SHARE = 0.3;
/**
 * Weight of a decode engine's first token: it shows less of the engine's pace, since its step is shared with other
 * requests.
 */
const DECODE_WEIGHT = 0.5;
/**
 * Minimum interval between updates of paces for the age of their samples; the interval at which callers call `refresh`
 * adds to it.
 */
const REFRESH_INTERVAL_MS = 1_000;

/**
 * Engines count as heterogeneous once the standard deviation of their log paces reaches this value, which is well above
 * what unreported waits produce among equal engines. They count as homogeneous again below the lower bound.
 */
const HETEROGENEOUS_SD = 0.3;
const HOMOGENEOUS_SD = 0.2;
/** Weight that an engine needs to count in that decision, and the minimum number of such engines. */
const MIN_OBSERVED_WEIGHT = 2;
const MIN_OBSERVED_ENGINES = 4;

/** The measured time of a read. */
export interface TimedRead {
  readonly elapsedMs: number;
  /** Expected time of the reads queued before it. */
  readonly waitMs: number;
}

/** The evidence for one engine's pace. */
export interface PaceSums extends ObservedPace {
  readonly engineId: string;
}

/** New observations, or all current estimates, of a service's line and engines. */
export interface ServicePaceSums {
  readonly service: string;
  /** Undefined if there is nothing to report of the line. */
  readonly line: LineSums | undefined;
  readonly engines: readonly PaceSums[];
}

/** The paces of one service's engines. */
export class EnginePaces {
  readonly #speed: ReadSpeed;
  readonly #byEngine = new Map<string, PaceSamples>();
  readonly #mean = new WeightedMean();
  readonly #unadvertisedLine = new LineSamples(1);
  readonly #unadvertised = new Map<string, PaceSamples>();
  /** Deviation of first-token times from the line over all engines, which is not part of any single engine's pace. */
  readonly #decodeBias = new PaceSamples();
  #refreshedAtMs = Number.NEGATIVE_INFINITY;
  #isHeterogeneous = false;

  /** @param speed the service's line, against which the samples of all engines are measured */
  constructor(speed: ReadSpeed) {
    this.#speed = speed;
  }

  /**
   * Whether the engines' paces differ by more than chance and waits produce among equal engines, as of the last
   * `refresh`.
   */
  get isHeterogeneous(): boolean {
    return this.#isHeterogeneous;
  }

  /** The service's line as learnt together with the paces. */
  get line(): LineSums {
    return this.#speed.line;
  }

  /** An engine's pace relative to the usual one; 1 while nothing else is known. */
  paceOf(engineId: string): number {
    return this.#byEngine.get(engineId)?.pace ?? 1;
  }

  /** The quantized pace by which an engine is weighted in the choice of preferred engines. */
  quantizedPaceOf(engineId: string): number {
    return this.#byEngine.get(engineId)?.quantizedPace ?? 1;
  }

  /** Records that a prefill engine read `tokens` tokens; hardly any work was known to be queued before them. */
  learnPrefill(engineId: string, tokens: number, read: TimedRead, nowMs: number): void {
    const elapsedMs = ownTimeOf(read);
    if (!(tokens > 0 && elapsedMs > 0)) return;
    this.#learn(engineId, Math.log(this.#speed.prefillMs(tokens) / elapsedMs), 1, nowMs);
    const pace = this.paceOf(engineId);
    const weight = this.#speed.learnPrefill(tokens, elapsedMs, pace);
    this.#unadvertisedLine.add(tokens, elapsedMs * pace, weight);
  }

  /**
   * Records that a decode engine read `tokens` tokens and began to generate.
   * @param wasFree whether no request was known to be queued before it
   */
  learnDecode(
    engineId: string,
    tokens: number,
    elapsedMs: number,
    wasFree: boolean,
    nowMs: number,
  ): void {
    if (!(tokens > 0 && elapsedMs > 0)) return;
    if (wasFree) this.#learnFirstToken(engineId, tokens, elapsedMs, nowMs);
    this.#speed.learnDecode(tokens, elapsedMs, this.paceOf(engineId));
  }

  /**
   * Adds observations of other daemons.
   * @param isRelayed whether they are advertised further together with this daemon's own observations
   */
  addObserved({ line, engines }: ServicePaceSums, isRelayed: boolean, nowMs: number): void {
    if (line !== undefined) this.#speed.addLine(line);
    if (line !== undefined && isRelayed) this.#unadvertisedLine.merge(line);
    for (const observed of engines) {
      this.#updateSamples(observed.engineId, (samples) => samples.add(observed, nowMs));
      if (isRelayed) this.#recordUnadvertised(observed.engineId, observed, nowMs);
    }
  }

  /** Applies the estimates of the zone's relay, which receives the observations of more daemons. */
  applyKnown({ line, engines }: ServicePaceSums, nowMs: number): void {
    if (line !== undefined && hasEnoughWeight(line.weight, this.#speed.line.weight)) {
      this.#speed.replaceLine(line);
    }
    for (const known of engines) {
      this.#updateSamples(known.engineId, (samples) => {
        if (hasEnoughWeight(known.weight, samples.weightAt(nowMs))) samples.replace(known, nowMs);
      });
    }
    this.#updateAllPaces();
  }

  /** Observations that have not been advertised yet; undefined if there are none. */
  unadvertised(service: string, maxEngines: number): ServicePaceSums | undefined {
    const line = this.#unadvertisedLine.weight > 0 ? this.#unadvertisedLine.sums : undefined;
    const engines = [...this.#unadvertised]
      .slice(0, maxEngines)
      .map(([id, observed]) => ({ engineId: id, ...observed.sums }));
    if (line === undefined && engines.length === 0) return undefined;
    return { service, line, engines };
  }

  /** Marks observations as advertised. */
  markAdvertised({ engines }: ServicePaceSums): void {
    this.#unadvertisedLine.clear();
    for (const { engineId } of engines) this.#unadvertised.delete(engineId);
  }

  /** All current estimates. */
  known(service: string, nowMs: number): ServicePaceSums {
    const { line } = this.#speed;
    const engines = [...this.#byEngine].map(([id, samples]) => ({
      engineId: id,
      logPace: samples.logPace,
      weight: samples.weightAt(nowMs),
    }));
    return { service, line: line.weight > 0 ? line : undefined, engines };
  }

  /** Every engine with observations. */
  *all(): Generator<{ readonly engineId: string; readonly pace: number }> {
    for (const [engineId, { pace }] of this.#byEngine) yield { engineId, pace };
  }

  /** Drops the observations of an engine that was removed, or whose id was taken over by a new one. */
  forget(engineId: string): void {
    const samples = this.#byEngine.get(engineId);
    if (samples !== undefined) this.#mean.remove(samples);
    this.#byEngine.delete(engineId);
    this.#unadvertised.delete(engineId);
  }

  /** Decays old samples and recomputes each engine's pace against the current mean. */
  refresh(nowMs: number): void {
    if (nowMs - this.#refreshedAtMs < REFRESH_INTERVAL_MS) return;
    this.#refreshedAtMs = nowMs;
    this.#mean.clear();
    for (const samples of this.#byEngine.values()) {
      samples.decayTo(nowMs);
      this.#mean.add(samples);
    }
    this.#updateAllPaces();
    this.#updateHeterogeneity();
  }

  #updateHeterogeneity(): void {
    const observed = [...this.#byEngine.values()].filter(
      ({ weight }) => weight >= MIN_OBSERVED_WEIGHT,
    );
    if (observed.length < MIN_OBSERVED_ENGINES || 2 * observed.length < this.#byEngine.size) return;
    const logs = observed.map(({ pace }) => Math.log(pace));
    const mean = logs.reduce((sum, log) => sum + log, 0) / logs.length;
    const variance = logs.reduce((sum, log) => sum + (log - mean) ** 2, 0) / logs.length;
    this.#isHeterogeneous =
      Math.sqrt(variance) >= (this.#isHeterogeneous ? HOMOGENEOUS_SD : HETEROGENEOUS_SD);
  }

  #learnFirstToken(engineId: string, tokens: number, elapsedMs: number, nowMs: number): void {
    const logRatio = Math.log(this.#speed.decodeMs(tokens) / elapsedMs);
    if (!this.#speed.isTrusted || !Number.isFinite(logRatio)) return;
    const bias = this.#decodeBias;
    bias.add({ logPace: clampLogPace(logRatio), weight: 1 }, nowMs);
    if (bias.weightAt(nowMs) < MIN_BIAS_WEIGHT) return;
    this.#learn(engineId, logRatio - bias.logPace, DECODE_WEIGHT, nowMs);
  }

  #learn(engineId: string, logRatio: number, weight: number, nowMs: number): void {
    // Before the line is trusted, its predictions are no measure of an engine.
    if (!this.#speed.isTrusted || !Number.isFinite(logRatio)) return;
    const samples = this.#getOrCreateSamples(engineId);
    const logPace = clampLogPace(logRatio);
    const isSlower = samples.weight > 0 && logPace < samples.logPace - SLOWER_READ_LOG;
    const observed = { logPace, weight: isSlower ? weight * SLOWER_READ_WEIGHT : weight };
    this.#recordUnadvertised(engineId, observed, nowMs);
    this.#updateSamples(engineId, () => samples.add(observed, nowMs));
  }

  #updateSamples(engineId: string, update: (samples: PaceSamples) => void): void {
    const samples = this.#getOrCreateSamples(engineId);
    this.#mean.remove(samples);
    update(samples);
    this.#mean.add(samples);
    samples.updatePace(this.#mean.value);
  }

  /** Keeps an observation until it is advertised. */
  #recordUnadvertised(engineId: string, observed: ObservedPace, nowMs: number): void {
    const unadvertised = this.#unadvertised.get(engineId) ?? new PaceSamples();
    this.#unadvertised.set(engineId, unadvertised);
    unadvertised.add(observed, nowMs);
  }

  #updateAllPaces(): void {
    for (const samples of this.#byEngine.values()) samples.updatePace(this.#mean.value);
  }

  #getOrCreateSamples(engineId: string): PaceSamples {
    const known = this.#byEngine.get(engineId);
    if (known !== undefined) return known;
    const created = new PaceSamples();
    this.#byEngine.set(engineId, created);
    return created;
  }
}

/** Whether a received line is plausible; if it is not, the rest of its message is still used. */
export function isUsableLine(line: LineSums): boolean {
  return line.weight <= MAX_WEIGHT && isPossibleLine(line);
}

/** Whether the received evidence for an engine is plausible. */
export function isUsablePace({ logPace, weight }: PaceSums): boolean {
  const isWeight = weight > 0 && weight <= MAX_WEIGHT;
  return isWeight && clampLogPace(logPace) === logPace;
}

/** The elapsed time without the expected wait: reads wait most at the busiest engines, which are not slower for it. */
function ownTimeOf({ elapsedMs, waitMs }: TimedRead): number {
  return elapsedMs - Math.min(waitMs, MAX_WAIT_SHARE * elapsedMs);
}

function hasEnoughWeight(receivedWeight: number, ownWeight: number): boolean {
  return receivedWeight >= MIN_RECEIVED_WEIGHT_SHARE * ownWeight;
}
