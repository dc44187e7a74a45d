/**
 * A fleet of engines that read prompts one after another, each at its own speed and each slow for a moment now and
 * then, and one daemon that plans by the pure decisions and learns from what it sees. Virtual time, fixed seeds.
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

/** Tokens that an engine of the usual speed reads in a millisecond; the daemon is told nothing of it. */
const TOKENS_PER_MS = 50;
/** An engine answers so long after it has read, whatever the prompt, at the usual speed. */
const OVERHEAD_MS = 6;
/** Moments in which an engine may be slow are so long. */
const MOMENT_MS = 600;
const FREE_WAIT_SHARE = 0.25;

export interface UnlikeEnginesOptions {
  /** Against the usual one. */
  readonly speeds: readonly number[];
  /** Part of the moments in which an engine is slow, and how much longer everything takes in them. */
  readonly slowShare: number;
  readonly slowFactor: number;
  /** Milliseconds between two prompts, on average. */
  readonly gapMs: number;
  readonly prompts: number;
  readonly hasPaces: boolean;
  readonly seed: number;
}

/** One prompt as it was planned and as it came out. */
export interface PlannedRead {
  readonly engine: number;
  readonly expectedMs: number;
  readonly seenMs: number;
  readonly usualMs: number;
}

interface UnderWay extends PlannedRead {
  readonly endsAtMs: number;
  readonly finish: (nowMs: number) => void;
}

/** Plays prompts and gives them in the order of their sending. */
export function playUnlikeEngines(options: UnlikeEnginesOptions): readonly PlannedRead[] {
  const { speeds, gapMs, prompts, hasPaces } = options;
  const random = seededRandom(options.seed);
  const engines = speeds.map((_, place) => engineAt(place));
  const speed = new ReadSpeed(hasPaces);
  speed.setInitialEstimate(9_000, 500);
  const paces = new EnginePaces(speed);
  const loads = new Map(engines.map(({ id }) => [id, new EngineLoad()]));
  const taken = new EngineLoad();
  // The engine that generates is full, so that every prompt is read apart.
  taken.begin({ urgency: 'in-time', readMs: 1e9, waitMs: 0 }, 0);
  const healths = new Map(engines.map(({ id }) => [id, new ServerHealth()]));
  const prefixIndex = new PrefixCacheIndex();
  const peerLoads = new PeerLoads();
  const freeAtMs = speeds.map(() => 0);
  const isSlow = momentsOf(options);
  const reads: PlannedRead[] = [];
  let underWay: UnderWay[] = [];
  let nowMs = 0;
  for (let turn = 0; turn < prompts; turn += 1) {
    nowMs += -Math.log(1 - random()) * gapMs;
    for (const read of underWay.filter(({ endsAtMs }) => endsAtMs <= nowMs)) {
      read.finish(read.endsAtMs);
    }
    underWay = underWay.filter(({ endsAtMs }) => endsAtMs > nowMs);
    const tokens = 1_500 + Math.floor(random() * 12_000);
    const plan = planModelRequest({
      candidates: [...engines, GENERATING],
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
      loadOf: (id) => loads.get(id) ?? taken,
    });
    if (plan?.kind !== 'prefill') throw new Error('every prompt is read apart here');
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
      seenMs: endsAtMs - sentMs,
      usualMs,
    };
    reads.push(read);
    underWay.push({ ...read, endsAtMs, finish });
  }
  return reads;
}

/** Work that takes so long at the usual speed ends later when moments of slowness fall into it. */
function endOf(beginsMs: number, workMs: number, factorAt: (atMs: number) => number): number {
  let atMs = beginsMs;
  let leftMs = workMs;
  for (;;) {
    const factor = factorAt(atMs);
    const momentEndMs = (Math.floor(atMs / MOMENT_MS) + 1) * MOMENT_MS;
    if (atMs + leftMs * factor <= momentEndMs) return atMs + leftMs * factor;
    leftMs -= (momentEndMs - atMs) / factor;
    atMs = momentEndMs;
  }
}

function momentsOf({ slowShare, seed }: UnlikeEnginesOptions) {
  return (engine: number, atMs: number): boolean => {
    const moment = Math.floor(atMs / MOMENT_MS);
    return seededRandom(seed * 7_919 + engine * 104_729 + moment * 1_299_709)() < slowShare;
  };
}

/** Numbers from 0 to 1, the same for the same seed. */
export function seededRandom(seed: number): () => number {
  let state = (seed ^ 0x9e3779b9) >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

const GENERATING: ServerRecord = { ...engineAt(999), id: 'generating', stage: 'decode' };

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
