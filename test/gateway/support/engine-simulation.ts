/**
 * Simulates a fleet of engines in virtual time with fixed seeds. Engines read prompts one after another, each at its
 * own speed and with temporary slowdowns; one daemon plans by the pure decisions and learns from the read times that it
 * observes.
 */
import {
  EngineLoad,
  EnginePaces,
  PeerLoads,
  PrefixCacheIndex,
  planModelRequest,
  ReadSpeed,
  ServerHealth,
  type ServerRecord,
} from '../../../src/core/gateway/index.js';

/** Tokens that an engine of the usual speed reads per millisecond; the daemon does not know it. */
const TOKENS_PER_MS = 50;
/** Time from the end of a read to the answer at the usual speed, for any prompt. */
const OVERHEAD_MS = 6;
/** Length of the periods in which an engine is either slow or not. */
const SLOWDOWN_PERIOD_MS = 600;
const FREE_WAIT_SHARE = 0.25;

export interface EngineSimulationOptions {
  /** Relative to the usual speed. */
  readonly speeds: readonly number[];
  /** Share of the periods in which an engine is slow, and the factor by which work then takes longer. */
  readonly slowShare: number;
  readonly slowFactor: number;
  /** Mean time between two prompts. */
  readonly gapMs: number;
  readonly prompts: number;
  readonly hasPaces: boolean;
  readonly seed: number;
}

/** The expected and the actual read of one prompt. */
export interface PlannedRead {
  readonly engine: number;
  readonly expectedMs: number;
  readonly observedMs: number;
  readonly usualMs: number;
}

interface ReadInProgress extends PlannedRead {
  readonly endsAtMs: number;
  readonly finish: (nowMs: number) => void;
}

/** Simulates the prompts and returns their reads in the order of sending. */
export function simulateEngines(options: EngineSimulationOptions): readonly PlannedRead[] {
  const { speeds, gapMs, prompts, hasPaces } = options;
  const random = seededRandom(options.seed);
  const engines = speeds.map((_, place) => engineAt(place));
  const speed = new ReadSpeed(hasPaces);
  speed.setInitialEstimate(9_000, 500);
  const paces = new EnginePaces(speed);
  const loads = new Map(engines.map(({ id }) => [id, new EngineLoad()]));
  const full = new EngineLoad();
  // The decode engine is full, so that every prompt is read by a prefill engine.
  full.begin({ urgency: 'in-time', readMs: 1e9, waitMs: 0 }, 0);
  const healths = new Map(engines.map(({ id }) => [id, new ServerHealth()]));
  const prefixIndex = new PrefixCacheIndex();
  const peerLoads = new PeerLoads();
  const freeAtMs = speeds.map(() => 0);
  const isSlow = slowPeriods(options);
  const reads: PlannedRead[] = [];
  let inProgress: ReadInProgress[] = [];
  let nowMs = 0;
  for (let turn = 0; turn < prompts; turn += 1) {
    nowMs += -Math.log(1 - random()) * gapMs;
    for (const read of inProgress.filter(({ endsAtMs }) => endsAtMs <= nowMs)) {
      read.finish(read.endsAtMs);
    }
    inProgress = inProgress.filter(({ endsAtMs }) => endsAtMs > nowMs);
    const tokens = 1_500 + Math.floor(random() * 12_000);
    const plan = planModelRequest({
      candidates: [...engines, DECODE_ENGINE],
      excludedIds: new Set(),
      description: {
        attemptId: `x${turn}`,
        deadlineMs: 10_000,
        promptParts: [{ id: `own-${turn}`, tokens }],
        promptTokens: tokens,
        maxOutputTokens: 10,
      },
      zone: 'a',
      nowMs,
      prefixIndex,
      speed,
      ...(hasPaces ? { paceOf: (id: string) => paces.paceOf(id) } : {}),
      shortReadsPerMs: 0,
      waitFactor: () => 1,
      latencyBudgetMs: 60_000,
      kvTokenBytes: 1,
      linkMbps: 1_000_000,
      healthOf: (id) => healths.get(id) ?? new ServerHealth(),
      peerLoads,
      loadOf: (id) => loads.get(id) ?? full,
    });
    if (plan?.kind !== 'prefill') throw new Error('expected a plan with a separate prefill engine');
    const { server } = plan.prefill;
    const engine = engines.indexOf(server);
    const usualMs = (OVERHEAD_MS + tokens / TOKENS_PER_MS) / (speeds[engine] ?? 1);
    const beginsMs = Math.max(nowMs, freeAtMs[engine] ?? 0);
    const endsAtMs = endOf(beginsMs, usualMs, (atMs) =>
      isSlow(engine, atMs) ? options.slowFactor : 1,
    );
    freeAtMs[engine] = endsAtMs;
    const sentMs = nowMs;
    const load = loads.get(server.id);
    const pending = load?.begin(plan.read, nowMs);
    const wasFree = plan.read.waitMs <= FREE_WAIT_SHARE * plan.read.readMs;
    const finish = (atMs: number) => {
      if (pending !== undefined) load?.finish(pending, atMs);
      if (!wasFree && speed.isLearnt) return;
      const { waitMs } = plan.read;
      if (hasPaces)
        paces.learnPrefill(server.id, tokens, { elapsedMs: atMs - sentMs, waitMs }, atMs);
      else speed.learnPrefill(tokens, atMs - sentMs);
    };
    const read = {
      engine,
      expectedMs: plan.read.waitMs + plan.read.readMs,
      observedMs: endsAtMs - sentMs,
      usualMs,
    };
    reads.push(read);
    inProgress.push({ ...read, endsAtMs, finish });
  }
  return reads;
}

/** The end of work of `workMs` without slowdowns, extended by the slow periods that it runs through. */
function endOf(beginsMs: number, workMs: number, factorAt: (atMs: number) => number): number {
  let atMs = beginsMs;
  let leftMs = workMs;
  for (;;) {
    const factor = factorAt(atMs);
    const periodEndMs = (Math.floor(atMs / SLOWDOWN_PERIOD_MS) + 1) * SLOWDOWN_PERIOD_MS;
    if (atMs + leftMs * factor <= periodEndMs) return atMs + leftMs * factor;
    leftMs -= (periodEndMs - atMs) / factor;
    atMs = periodEndMs;
  }
}

function slowPeriods({ slowShare, seed }: EngineSimulationOptions) {
  return (engine: number, atMs: number): boolean => {
    const period = Math.floor(atMs / SLOWDOWN_PERIOD_MS);
    return seededRandom(seed * 7_919 + engine * 104_729 + period * 1_299_709)() < slowShare;
  };
}

/** Returns a generator of numbers from 0 to 1 that is determined by the seed. */
export function seededRandom(seed: number): () => number {
  let state = (seed ^ 0x9e3779b9) >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

const DECODE_ENGINE: ServerRecord = { ...engineAt(999), id: 'generating', stage: 'decode' };

function engineAt(place: number): ServerRecord {
  return {
    id: `e${place}`,
    service: 's',
    address: '127.0.0.1:1',
    zone: 'a',
    slots: 64,
    state: 'ready',
    isSpot: false,
    stage: 'prefill',
  };
}
