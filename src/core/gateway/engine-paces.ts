/**
 * The pace of each engine of a service against the usual one: 1.7 reads a prompt in a 1.7th of the time
 * that the service's line says, and steps as much faster.
 *
 * It is learnt from reads that did not wait, by this daemon and by others, as a mean of logarithms. Few
 * samples say little: they are drawn to the usual pace by the weight of what was seen. Differences that
 * chance makes among equal engines count as none, so that equal engines are decided on as one pace.
 *
 * The line and the paces are learnt from the same reads, each by means of the other. So the usual pace is the mean of
 * all engines that were seen, whatever they are: without that, both could drift away together.
 */
import { isPossibleLine, LineSamples, type LineSums } from './line-samples.js';
import { clampLogPace, type ObservedPace, PaceSamples, WeightedMean } from './pace-samples.js';
import type { ReadSpeed } from './read-speed.js';

/**
 * Reads that take longer than the engine's pace says may include a wait that nobody knew of, or a moment in which it was
 * slow: busy engines have more of these, and are not slower for it.
 */
const LONGER_WEIGHT = 0.15;
/** Logarithms of reads of one engine differ by this much without any such wait or slow moment. */
const LONGER_LOG = 0.05;
/** First tokens before it is known how they come out. */
const TRUSTED_WEIGHT = 5;
/** What others know counts for more than what this daemon does, unless they have seen less than this part of it. */
const LEAST_KNOWN_SHARE = 0.5;
/** All that a message can say of one engine, or of a line: more than daemons hold. */
const MOST_WEIGHT = 1_000;
/** A wait that was expected to be longer than this part of all the time was expected wrongly. */
const MOST_WAIT_SHARE = 0.3;
/** The first token of a run shows less of an engine's pace: the step that it waits for is shared with others. */
const DECODE_WEIGHT = 0.5;
/** Paces are not worked out again for their age within this time; the caller's own interval comes on top. */
const REFRESH_MS = 1_000;

/**
 * Engines count as unlike once their paces differ by so much, as the standard deviation of their logarithms: well more
 * than waits that nobody tells of make among equal ones. They count as alike again below the lower bound.
 */
const UNLIKE_LOG = 0.3;
const ALIKE_LOG = 0.2;
/** An engine that was seen less often says nothing of how unlike they are. */
const LEAST_SEEN_WEIGHT = 2;
const LEAST_SEEN_ENGINES = 4;

/** How long an engine took. */
export interface TimedRead {
  readonly elapsedMs: number;
  /** What was expected to be read before. */
  readonly waitMs: number;
}

/** What was seen of one engine's pace. */
export interface PaceSums extends ObservedPace {
  readonly engineId: string;
}

/** What was seen, or is known, of a service's line and its engines. */
export interface ServicePaceSums {
  readonly service: string;
  /** Undefined where nothing is said of it. */
  readonly line: LineSums | undefined;
  readonly engines: readonly PaceSums[];
}

/** The paces of one service's engines. */
export class EnginePaces {
  readonly #speed: ReadSpeed;
  readonly #byEngine = new Map<string, PaceSamples>();
  readonly #mean = new WeightedMean();
  readonly #untoldLine = new LineSamples(1);
  readonly #untold = new Map<string, PaceSamples>();
  /** How first tokens come out against the line, whatever the engine: that is no pace of one. */
  readonly #decodeBias = new PaceSamples();
  #refreshedMs = Number.NEGATIVE_INFINITY;
  #isUnlike = false;

  /** @param speed the service's line, which every engine's samples are brought to */
  constructor(speed: ReadSpeed) {
    this.#speed = speed;
  }

  /** Whether the engines' paces differ by more than chance and waits make of equal ones; as of the last `refresh`. */
  get isHeterogeneous(): boolean {
    return this.#isUnlike;
  }

  /** The service's line by these paces. */
  get line(): LineSums {
    return this.#speed.line;
  }

  /** An engine's pace against the usual one; 1 while nothing else is known. */
  paceOf(engineId: string): number {
    return this.#byEngine.get(engineId)?.pace ?? 1;
  }

  /** The pace by which an engine counts as the home of shared parts. */
  quantizedPaceOf(engineId: string): number {
    return this.#byEngine.get(engineId)?.quantizedPace ?? 1;
  }

  /** A prefill engine read so many tokens, next to nobody known waiting before them. */
  learnPrefill(engineId: string, tokens: number, read: TimedRead, nowMs: number): void {
    const elapsedMs = ownTimeOf(read);
    if (!(tokens > 0 && elapsedMs > 0)) return;
    this.#learn(engineId, Math.log(this.#speed.prefillMs(tokens) / elapsedMs), 1, nowMs);
    const pace = this.paceOf(engineId);
    const weight = this.#speed.learnPrefill(tokens, elapsedMs, pace);
    this.#untoldLine.add(tokens, elapsedMs * pace, weight);
  }

  /**
   * A decode engine read so many tokens and began to generate.
   * @param wasFree whether nobody was known to wait before them
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
   * Adds what other daemons have seen.
   * @param isRelayed whether it is told on with what this daemon sees itself
   */
  addObserved({ line, engines }: ServicePaceSums, isRelayed: boolean, nowMs: number): void {
    if (line !== undefined) this.#speed.addLine(line);
    if (line !== undefined && isRelayed) this.#untoldLine.merge(line);
    for (const seen of engines) {
      this.#change(seen.engineId, (samples) => samples.add(seen, nowMs));
      if (isRelayed) this.#note(seen.engineId, seen, nowMs);
    }
  }

  /** Takes what the zone's relay knows, which has heard of more than this daemon. */
  applyKnown({ line, engines }: ServicePaceSums, nowMs: number): void {
    if (line !== undefined && isMore(line.weight, this.#speed.line.weight)) {
      this.#speed.replaceLine(line);
    }
    for (const known of engines) {
      this.#change(known.engineId, (samples) => {
        if (isMore(known.weight, samples.weightAt(nowMs))) samples.replace(known, nowMs);
      });
    }
    this.#settleAll();
  }

  /** What has not been told yet; undefined for nothing. */
  unadvertised(service: string, maxEngines: number): ServicePaceSums | undefined {
    const line = this.#untoldLine.weight > 0 ? this.#untoldLine.sums : undefined;
    const engines = [...this.#untold]
      .slice(0, maxEngines)
      .map(([id, seen]) => ({ engineId: id, ...seen.sums }));
    if (line === undefined && engines.length === 0) return undefined;
    return { service, line, engines };
  }

  /** What was untold has been told. */
  markAdvertised({ engines }: ServicePaceSums): void {
    this.#untoldLine.clear();
    for (const { engineId } of engines) this.#untold.delete(engineId);
  }

  /** All that is known. */
  known(service: string, nowMs: number): ServicePaceSums {
    const { line } = this.#speed;
    const engines = [...this.#byEngine].map(([id, samples]) => ({
      engineId: id,
      logPace: samples.logPace,
      weight: samples.weightAt(nowMs),
    }));
    return { service, line: line.weight > 0 ? line : undefined, engines };
  }

  /** Every engine of which something was seen. */
  *all(): Generator<{ readonly engineId: string; readonly pace: number }> {
    for (const [engineId, { pace }] of this.#byEngine) yield { engineId, pace };
  }

  /** The engine is gone, or another began under its name. */
  forget(engineId: string): void {
    const samples = this.#byEngine.get(engineId);
    if (samples !== undefined) this.#mean.remove(samples);
    this.#byEngine.delete(engineId);
    this.#untold.delete(engineId);
  }

  /** Lets what is old count for less, and counts each engine against the mean as it is now. */
  refresh(nowMs: number): void {
    if (nowMs - this.#refreshedMs < REFRESH_MS) return;
    this.#refreshedMs = nowMs;
    this.#mean.clear();
    for (const samples of this.#byEngine.values()) {
      samples.decayTo(nowMs);
      this.#mean.add(samples);
    }
    this.#settleAll();
    this.#judgeUnlike();
  }

  #judgeUnlike(): void {
    const seen = [...this.#byEngine.values()].filter(({ weight }) => weight >= LEAST_SEEN_WEIGHT);
    if (seen.length < LEAST_SEEN_ENGINES || 2 * seen.length < this.#byEngine.size) return;
    const logs = seen.map(({ pace }) => Math.log(pace));
    const mean = logs.reduce((sum, log) => sum + log, 0) / logs.length;
    const variance = logs.reduce((sum, log) => sum + (log - mean) ** 2, 0) / logs.length;
    this.#isUnlike = Math.sqrt(variance) >= (this.#isUnlike ? ALIKE_LOG : UNLIKE_LOG);
  }

  #learnFirstToken(engineId: string, tokens: number, elapsedMs: number, nowMs: number): void {
    const logRatio = Math.log(this.#speed.decodeMs(tokens) / elapsedMs);
    if (!this.#speed.isTrusted || !Number.isFinite(logRatio)) return;
    const bias = this.#decodeBias;
    bias.add({ logPace: clampLogPace(logRatio), weight: 1 }, nowMs);
    if (bias.weightAt(nowMs) < TRUSTED_WEIGHT) return;
    this.#learn(engineId, logRatio - bias.logPace, DECODE_WEIGHT, nowMs);
  }

  #learn(engineId: string, logRatio: number, weight: number, nowMs: number): void {
    // What the line says before it is learnt is no measure of an engine.
    if (!this.#speed.isTrusted || !Number.isFinite(logRatio)) return;
    const samples = this.#samplesOf(engineId);
    const logPace = clampLogPace(logRatio);
    const isLonger = samples.weight > 0 && logPace < samples.logPace - LONGER_LOG;
    const seen = { logPace, weight: isLonger ? weight * LONGER_WEIGHT : weight };
    this.#note(engineId, seen, nowMs);
    this.#change(engineId, () => samples.add(seen, nowMs));
  }

  #change(engineId: string, change: (samples: PaceSamples) => void): void {
    const samples = this.#samplesOf(engineId);
    this.#mean.remove(samples);
    change(samples);
    this.#mean.add(samples);
    samples.updatePace(this.#mean.value);
  }

  /** Keeps what was seen until it is told. */
  #note(engineId: string, seen: ObservedPace, nowMs: number): void {
    const unadvertised = this.#untold.get(engineId) ?? new PaceSamples();
    this.#untold.set(engineId, unadvertised);
    unadvertised.add(seen, nowMs);
  }

  #settleAll(): void {
    for (const samples of this.#byEngine.values()) samples.updatePace(this.#mean.value);
  }

  #samplesOf(engineId: string): PaceSamples {
    const known = this.#byEngine.get(engineId);
    if (known !== undefined) return known;
    const created = new PaceSamples();
    this.#byEngine.set(engineId, created);
    return created;
  }
}

/** Whether a line that was told can be true; nothing else of a message depends on it. */
export function isUsableLine(line: LineSums): boolean {
  return line.weight <= MOST_WEIGHT && isPossibleLine(line);
}

/** Whether what was told of an engine can be true. */
export function isUsablePace({ logPace, weight }: PaceSums): boolean {
  const isWeight = weight > 0 && weight <= MOST_WEIGHT;
  return isWeight && clampLogPace(logPace) === logPace;
}

/** The read itself: the engines that have most to do are those whose reads wait, and are not slower for it. */
function ownTimeOf({ elapsedMs, waitMs }: TimedRead): number {
  return elapsedMs - Math.min(waitMs, MOST_WAIT_SHARE * elapsedMs);
}

function isMore(toldWeight: number, ownWeight: number): boolean {
  return toldWeight >= LEAST_KNOWN_SHARE * ownWeight;
}
