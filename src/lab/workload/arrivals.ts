/**
 * Open-loop arrivals: when each request is sent does not depend on how earlier ones fared. Each
 * source is a Poisson process whose rate follows the phases, made by thinning (Lewis and Shedler).
 */
import type { Milliseconds } from '../../core/common/time.js';
import type { ModelSource, Phase, Source, Workload } from './definition.js';
import { draw } from './distribution.js';
import type { PromptDescription } from './prompt.js';
import { Random } from './random.js';

/** A request to a model, without its prompt's text. */
export interface ModelArrivalRequest {
  readonly kind: 'model';
  /** The base model, on which the adapter lies. */
  readonly model: string;
  readonly adapter: string | null;
  readonly chat: boolean;
  readonly streamed: boolean;
  readonly prompt: PromptDescription;
  readonly outputTokens: number;
}

/** What is asked. */
export type ArrivalRequest =
  | ModelArrivalRequest
  | { readonly kind: 'web-read'; readonly path: string }
  | {
      readonly kind: 'web-order';
      readonly path: string;
      /** Tells this order from all others; an order server counts its runs by it. */
      readonly requestKey: string;
      /** Whether the caller sends the key as an Idempotency-Key, too. */
      readonly keyed: boolean;
    };

/** One request of a workload. */
export interface Arrival {
  /** Counts the workload's requests from 0, in order of time. */
  readonly index: number;
  /** Since the workload's start. */
  readonly atMs: Milliseconds;
  readonly source: Source;
  readonly phase: string;
  readonly request: ArrivalRequest;
}

interface Candidate {
  readonly atMs: Milliseconds;
  readonly phase: Phase;
}

const MS_PER_SECOND = 1_000;
const HIGHEST_SEED = 0x7fffffff;
const STREAMS_PER_SOURCE = 2;

/** All arrivals of a workload in order of time; the same for the same definition. */
export function* arrivals(workload: Workload): Generator<Arrival> {
  const processes = workload.sources.map((source, n) => new SourceProcess(workload, source, n));
  for (let index = 0; ; index += 1) {
    const first = earliest(processes);
    if (first === null) return;
    yield first.take(index);
  }
}

function earliest(processes: readonly SourceProcess[]): SourceProcess | null {
  let first: SourceProcess | null = null;
  for (const process of processes) {
    if (process.next === null) continue;
    if (first?.next == null || process.next.atMs < first.next.atMs) first = process;
  }
  return first;
}

/** One source: the time of its next request and what it asks. */
class SourceProcess {
  next: Candidate | null;
  private readonly times: Iterator<Candidate>;
  private readonly random: Random;

  constructor(
    private readonly workload: Workload,
    private readonly source: Source,
    private readonly number: number,
  ) {
    const stream = number * STREAMS_PER_SOURCE;
    this.times = sourceTimes(workload.phases, source.name, new Random(workload.seed, stream));
    this.random = new Random(workload.seed, stream + 1);
    this.next = this.advance();
  }

  take(index: number): Arrival {
    const candidate = this.next;
    if (candidate === null) throw new Error(`source ${this.source.name} has ended`);
    const request = this.drawRequest(index);
    this.next = this.advance();
    return {
      index,
      atMs: candidate.atMs,
      source: this.source,
      phase: candidate.phase.name,
      request,
    };
  }

  private advance(): Candidate | null {
    const result = this.times.next();
    return result.done === true ? null : result.value;
  }

  private drawRequest(index: number): ArrivalRequest {
    const { source, random } = this;
    switch (source.kind) {
      case 'model':
        return drawModelRequest(source, random, this.prefixSeed(source));
      case 'web-read':
        return { kind: 'web-read', path: `${source.prefix}${random.integer(1, source.paths)}` };
      case 'web-order':
        return {
          kind: 'web-order',
          path: source.path,
          requestKey: `${this.workload.name}-${this.workload.seed}-${index}`,
          keyed: random.unit() < source.keyedShare,
        };
    }
  }

  private prefixSeed(source: ModelSource): number | null {
    if (source.sharedPrefixes === 0) return null;
    const chosen = this.random.integer(1, source.sharedPrefixes);
    return this.workload.seed + this.number * HIGHEST_SEED + chosen;
  }
}

function drawModelRequest(
  source: ModelSource,
  random: Random,
  prefixSeed: number | null,
): ModelArrivalRequest {
  const adapter =
    source.adapters.length === 0
      ? null
      : (source.adapters[random.integer(0, source.adapters.length - 1)] ?? null);
  const prefixTokens = prefixSeed === null ? 0 : source.prefixTokens;
  const tokens = Math.max(draw(source.promptTokens, random), prefixTokens + 1);
  return {
    kind: 'model',
    model: source.model,
    adapter,
    chat: random.unit() < source.chatShare,
    streamed: random.unit() < source.streamedShare,
    prompt: { tokens, prefixSeed, prefixTokens, seed: random.integer(0, HIGHEST_SEED) },
    outputTokens: draw(source.outputTokens, random),
  };
}

/** The times of one source's requests over all phases. */
function* sourceTimes(
  phases: readonly Phase[],
  source: string,
  random: Random,
): Generator<Candidate> {
  let startMs = 0;
  for (const phase of phases) {
    for (const offsetMs of phaseTimes(phase, source, random)) {
      yield { atMs: startMs + offsetMs, phase };
    }
    startMs += phase.durationMs;
  }
}

function* phaseTimes(phase: Phase, source: string, random: Random): Generator<Milliseconds> {
  const rate = phase.rates[source] ?? 0;
  const { from, to } = typeof rate === 'number' ? { from: rate, to: rate } : rate;
  const highest = Math.max(from, to);
  if (highest === 0) return;
  let atMs = 0;
  for (;;) {
    atMs += random.exponential(highest) * MS_PER_SECOND;
    if (atMs >= phase.durationMs) return;
    const current = from + ((to - from) * atMs) / phase.durationMs;
    if (random.unit() * highest < current) yield atMs;
  }
}
