/**
 * Decides when an engine changes its stage: the engines of a service are to be split as the work
 * asked for is. One engine at a time, and only when the split is off by a whole engine and more.
 */
import type { EngineStage, ServerRecord } from './server-directory.js';
import type { RequestWork } from './stage-demand.js';

/** Fewer requests say too little about the mix. */
const LEAST_REQUESTS = 30;
/**
 * Reading needs room to spare, since a long prompt is late as soon as it queues; generating needs
 * little, as many runs share a step.
 */
const LEAST_PREFILL_SHARE = 0.45;
const MOST_PREFILL_SHARE = 0.68;
/** How far the split may be off, in engines, before one is moved. */
const HYSTERESIS_ENGINES = 1.5;

/** What the decision is made from. */
export interface StagePlanInput {
  readonly engines: readonly ServerRecord[];
  readonly work: RequestWork & { readonly requests: number };
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
  const { engines, work } = input;
  const total = work.prefillMs + work.decodeMs;
  if (work.requests < LEAST_REQUESTS || total <= 0 || engines.length < 3) return undefined;
  const share = Math.min(MOST_PREFILL_SHARE, Math.max(LEAST_PREFILL_SHARE, work.prefillMs / total));
  const wantedPrefill = share * engines.length;
  const currentPrefill = engines.filter((engine) => engine.stage === 'prefill').length;
  const missing = wantedPrefill - currentPrefill;
  if (Math.abs(missing) < HYSTERESIS_ENGINES) return undefined;
  const stage: EngineStage = missing > 0 ? 'prefill' : 'decode';
  const movable = engines.filter((engine) => engine.stage !== stage);
  if (movable.length <= 1) return undefined;
  const engine = movable.reduce((least, candidate) =>
    input.busyOf(candidate.id) < input.busyOf(least.id) ? candidate : least,
  );
  return { engine, stage, wantedPrefill, currentPrefill };
}
