/**
 * Compares non-streamed and streamed answers through a daemon and through a minimal pass-through proxy,
 * in alternating rounds of one run, with the same backends.
 */
import { type Load, type LoadResult, load } from './load.js';
import { BenchProcesses, cpuTimeMs, type Subject } from './processes.js';

/** The comparison of daemon and pass-through under one kind of load. */
export interface HttpComparison {
  readonly case: 'whole' | 'streamed';
  readonly unit: 'requests' | 'tokens';
  readonly callers: number;
  readonly daemonPerSecond: number;
  readonly passThroughPerSecond: number;
  /** The median over the rounds of the daemon's rate divided by the pass-through's rate. */
  readonly ratio: number;
  readonly ratios: readonly number[];
  /** The same for the rates per second of CPU time of each process. */
  readonly ratioByProcessorTime: number;
  /** CPU time divided by elapsed time of the daemon's process; above 1 with several threads. */
  readonly daemonBusy: number;
  readonly passThroughBusy: number;
  /** Answers of both that were incomplete or had a status other than 200. */
  readonly bad: number;
}

const ROUNDS = 5;
const ROUND_MS = 2_500;
const WARM_UP_MS = 2_000;
const WHOLE: Load = { streamed: false, callers: 64, durationMs: ROUND_MS };
const STREAMED: Load = { streamed: true, callers: 512, durationMs: ROUND_MS };

/** Starts the processes, runs the comparisons and stops the processes. */
export async function benchHttp(): Promise<HttpComparison[]> {
  const processes = new BenchProcesses();
  try {
    await processes.start();
    return [await compare(processes, WHOLE), await compare(processes, STREAMED)];
  } finally {
    await processes.stop();
  }
}

interface Round {
  readonly daemon: Measured;
  readonly passThrough: Measured;
}

interface Measured {
  readonly perSecond: number;
  readonly perProcessorSecond: number;
  readonly busy: number;
  readonly bad: number;
}

async function compare(processes: BenchProcesses, spec: Load): Promise<HttpComparison> {
  const { daemon, passThrough } = processes;
  const warmUp = { ...spec, durationMs: WARM_UP_MS };
  await load(daemon.callers, warmUp);
  await load(passThrough.callers, warmUp);
  const rounds: Round[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    rounds.push(await measureRound(daemon, passThrough, spec, round % 2 === 0));
  }
  return summary(spec, rounds);
}

/** Alternates which subject runs first, so that drift of the machine's load affects both equally. */
async function measureRound(
  daemon: Subject,
  passThrough: Subject,
  spec: Load,
  daemonFirst: boolean,
): Promise<Round> {
  if (daemonFirst) {
    const first = await measure(daemon, spec);
    return { daemon: first, passThrough: await measure(passThrough, spec) };
  }
  const first = await measure(passThrough, spec);
  return { daemon: await measure(daemon, spec), passThrough: first };
}

async function measure(subject: Subject, spec: Load): Promise<Measured> {
  const processorBefore = cpuTimeMs(subject);
  const startedAt = performance.now();
  const result = await load(subject.callers, spec);
  const processor = cpuTimeMs(subject) - processorBefore;
  const elapsed = performance.now() - startedAt;
  const units = unitsOf(spec, result);
  return {
    perSecond: (units * 1_000) / result.elapsedMs,
    perProcessorSecond: (units * 1_000) / processor,
    busy: processor / elapsed,
    bad: result.bad,
  };
}

function unitsOf({ streamed }: Load, { answers, tokens }: LoadResult): number {
  return streamed ? tokens : answers;
}

function summary(spec: Load, rounds: readonly Round[]): HttpComparison {
  const ratios = rounds.map(({ daemon, passThrough }) => daemon.perSecond / passThrough.perSecond);
  const byProcessor = rounds.map(
    ({ daemon, passThrough }) => daemon.perProcessorSecond / passThrough.perProcessorSecond,
  );
  const middle = (value: (round: Round) => number) => median(rounds.map(value));
  return {
    case: spec.streamed ? 'streamed' : 'whole',
    unit: spec.streamed ? 'tokens' : 'requests',
    callers: spec.callers,
    daemonPerSecond: Math.round(middle(({ daemon }) => daemon.perSecond)),
    passThroughPerSecond: Math.round(middle(({ passThrough }) => passThrough.perSecond)),
    ratio: rounded(median(ratios)),
    ratios: ratios.map(rounded),
    ratioByProcessorTime: rounded(median(byProcessor)),
    daemonBusy: rounded(middle(({ daemon }) => daemon.busy)),
    passThroughBusy: rounded(middle(({ passThrough }) => passThrough.busy)),
    bad: rounds.reduce((sum, { daemon, passThrough }) => sum + daemon.bad + passThrough.bad, 0),
  };
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
}

function rounded(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
