/**
 * Decides when an engine changes its stage. Each stage has work for so many engines; the split is best
 * where the stage that is fuller for its kind of work is least full. An engine is away while it changes,
 * so one is moved at a time, only when a stage is full, and only where that relieves it well.
 *
 * Long prompts are read one after another, each late when it waits for one other, so a stage that reads
 * is full early; an engine that generates shares its steps among many runs and may be busier.
 */
import type { EngineStage, ServerRecord } from './server-directory.js';

/** Fewer requests say too little about the mix. */
const LEAST_REQUESTS = 30;
/** Parts of a stage's time below which work that comes unevenly still finds an engine free. */
const FULL_SHARE = { prefill: 0.35, decode: 0.7 } as const;
/** A move has to bring the fuller stage down at least to this part of what it was. */
const RELIEF_SHARE = 0.85;
/** The loss of one engine is to leave one of its stage, where there are this many in all. */
const ENGINES_FOR_SPARES = 4;
const ENGINES_WITH_SPARE = 2;

/** Work of a service, in engines that it keeps busy. */
export interface StageNeed {
  readonly prefillEngines: number;
  readonly decodeEngines: number;
  /** Requests that this was seen from. */
  readonly requests: number;
}

/** What the decision is made from. */
export interface StagePlanInput {
  readonly engines: readonly ServerRecord[];
  readonly need: StageNeed;
  /** What an engine has under way; the one with least is moved. */
  busyOf(engineId: string): number;
}

/** An engine that is to change its stage. */
export interface StageChange {
  readonly engine: ServerRecord;
  readonly stage: EngineStage;
  readonly wantedPrefill: number;
  readonly currentPrefill: number;
}

/** The next change, or undefined when the split is good enough. */
export function planStageChange(input: StagePlanInput): StageChange | undefined {
  const { engines, need } = input;
  const total = engines.length;
  if (need.requests < LEAST_REQUESTS || total < 3) return undefined;
  const currentPrefill = engines.filter((engine) => engine.stage === 'prefill').length;
  const wantedPrefill = bestPrefillCount(total, need);
  const current = fullest(currentPrefill, total, need);
  if (wantedPrefill === currentPrefill || current < 1) return undefined;
  if (fullest(wantedPrefill, total, need) > RELIEF_SHARE * current) return undefined;
  const stage: EngineStage = wantedPrefill > currentPrefill ? 'prefill' : 'decode';
  const movable = engines.filter((engine) => engine.stage !== stage);
  if (movable.length <= 1) return undefined;
  const engine = movable.reduce((least, candidate) =>
    input.busyOf(candidate.id) < input.busyOf(least.id) ? candidate : least,
  );
  return { engine, stage, wantedPrefill, currentPrefill };
}

function bestPrefillCount(total: number, need: StageNeed): number {
  const least = total >= ENGINES_FOR_SPARES ? ENGINES_WITH_SPARE : 1;
  let best = least;
  for (let count = least + 1; count <= total - least; count += 1) {
    if (fullest(count, total, need) < fullest(best, total, need)) best = count;
  }
  return best;
}

/** How full the fuller stage would be; above 1 its work queues. */
function fullest(prefillCount: number, total: number, need: StageNeed): number {
  const prefill = need.prefillEngines / Math.max(1, prefillCount);
  const decode = need.decodeEngines / Math.max(1, total - prefillCount);
  return Math.max(prefill / FULL_SHARE.prefill, decode / FULL_SHARE.decode);
}
