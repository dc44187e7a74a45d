/**
 * What each engine can read and write a second when it does nothing else, learnt from its reports:
 * the best that was seen lately, for what a report states is also slowed by the other phase.
 */
import type { BackendName } from '../common/identifiers.js';
import type { EngineView } from '../registry/backend.js';

/** The speeds of one engine. */
export interface EngineSpeed {
  readonly prefillTokensPerSecond: number;
  readonly decodeTokensPerSecond: number;
}

/** What was learnt of one engine. Zeros: nothing yet. */
export interface SpeedEstimate {
  readonly prefillTokensPerSecond: number;
  readonly decodeStepMs: number;
}

/** Speeds by engine. */
export type SpeedEstimates = ReadonlyMap<BackendName, SpeedEstimate>;

const UNKNOWN: SpeedEstimate = { prefillTokensPerSecond: 0, decodeStepMs: 0 };
/** How much of a best value is kept with each report that does not reach it. */
const KEPT_PER_REPORT = 0.998;
/** A step with a full batch beside the shortest step seen; assumed. */
const FULL_BATCH_STEP_FACTOR = 1.6;
/** Speeds taken for an engine where nothing was learnt of any of its kind; assumed. */
const DEFAULT_PREFILL_TOKENS_PER_SECOND = 10_000;
const DEFAULT_DECODE_STEP_MS = 15;
const MS_PER_SECOND = 1_000;

/** Takes over what the reports say. Forgets engines that are not among the views. */
export function updateSpeedEstimates(
  known: SpeedEstimates,
  views: readonly EngineView[],
): SpeedEstimates {
  const learnt = new Map<BackendName, SpeedEstimate>();
  for (const view of views) {
    const before = known.get(view.machine.name) ?? UNKNOWN;
    learnt.set(view.machine.name, learnSpeed(before, view));
  }
  return learnt;
}

/** The speeds of each kind of accelerator: the medians over its engines. */
export function speedsByAccelerator(
  speeds: SpeedEstimates,
  views: readonly EngineView[],
): ReadonlyMap<string, EngineSpeed> {
  const kinds = new Map<string, EngineView[]>();
  for (const view of views) {
    const kin = kinds.get(view.machine.accelerator);
    if (kin === undefined) {
      kinds.set(view.machine.accelerator, [view]);
    } else {
      kin.push(view);
    }
  }
  return new Map([...kinds].map(([kind, kin]) => [kind, medianSpeed(speeds, kin)]));
}

function medianSpeed(speeds: SpeedEstimates, kin: readonly EngineView[]): EngineSpeed {
  const learnt = kin.map((view) => speeds.get(view.machine.name) ?? UNKNOWN);
  const prefill = median(learnt.map((speed) => speed.prefillTokensPerSecond));
  const step = median(learnt.map((speed) => speed.decodeStepMs)) || DEFAULT_DECODE_STEP_MS;
  const batch = median(kin.map((view) => view.report?.maxBatch ?? 0)) || 1;
  return {
    prefillTokensPerSecond: prefill || DEFAULT_PREFILL_TOKENS_PER_SECOND,
    decodeTokensPerSecond: (batch * MS_PER_SECOND) / (step * FULL_BATCH_STEP_FACTOR),
  };
}

function learnSpeed(before: SpeedEstimate, view: EngineView): SpeedEstimate {
  const report = view.report;
  if (report === null) {
    return before;
  }
  const { prefillTokensPerSecond: prefill, decodeStepMs: step } = report.load;
  // A decode engine reads in small chunks on purpose; that says nothing of what it could read.
  const seenPrefill = report.role === 'decode' ? 0 : prefill;
  return {
    prefillTokensPerSecond: Math.max(seenPrefill, before.prefillTokensPerSecond * KEPT_PER_REPORT),
    decodeStepMs: shortest(step, before.decodeStepMs / KEPT_PER_REPORT),
  };
}

function shortest(seen: number, before: number): number {
  if (seen <= 0 || before <= 0) {
    return Math.max(seen, before);
  }
  return Math.min(seen, before);
}

function median(values: readonly number[]): number {
  const known = values.filter((value) => value > 0).sort((left, right) => left - right);
  return known[Math.floor(known.length / 2)] ?? 0;
}
