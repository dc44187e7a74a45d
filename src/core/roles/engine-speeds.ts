/**
 * Estimates each engine's prefill and decode speeds when it runs only that phase. The estimate is
 * the best recently reported value, because reported speeds are slowed by the other phase.
 */
import type { BackendName } from '../common/identifiers.js';
import type { EngineView } from '../registry/backend.js';

/** The speeds of one engine. */
export interface EngineSpeed {
  readonly prefillTokensPerSecond: number;
  readonly decodeTokensPerSecond: number;
}

/** The estimate for one engine; 0 while a value is unknown. */
export interface SpeedEstimate {
  readonly prefillTokensPerSecond: number;
  readonly decodeStepMs: number;
}

/** Speed estimates by engine. */
export type SpeedEstimates = ReadonlyMap<BackendName, SpeedEstimate>;

const UNKNOWN_SPEED: SpeedEstimate = { prefillTokensPerSecond: 0, decodeStepMs: 0 };
/** The factor by which a best value is lowered with each report that does not reach it. */
const RETENTION_PER_REPORT = 0.998;
/** The assumed ratio of a decode step with a full batch to the shortest reported step. */
const FULL_BATCH_STEP_FACTOR = 1.6;
/** The speeds assumed for an accelerator while none of its engines has reported any. */
const DEFAULT_PREFILL_TOKENS_PER_SECOND = 10_000;
const DEFAULT_DECODE_STEP_MS = 15;
const MS_PER_SECOND = 1_000;

/** Updates the estimates from the reports, and removes engines that are not among the views. */
export function updateSpeedEstimates(
  known: SpeedEstimates,
  views: readonly EngineView[],
): SpeedEstimates {
  const estimates = new Map<BackendName, SpeedEstimate>();
  for (const view of views) {
    const previous = known.get(view.machine.name) ?? UNKNOWN_SPEED;
    estimates.set(view.machine.name, updateSpeedEstimate(previous, view));
  }
  return estimates;
}

/** The speeds of each accelerator: the medians over its engines. */
export function speedsByAccelerator(
  speeds: SpeedEstimates,
  views: readonly EngineView[],
): ReadonlyMap<string, EngineSpeed> {
  const groups = new Map<string, EngineView[]>();
  for (const view of views) {
    const group = groups.get(view.machine.accelerator);
    if (group === undefined) {
      groups.set(view.machine.accelerator, [view]);
    } else {
      group.push(view);
    }
  }
  return new Map(
    [...groups].map(([accelerator, group]) => [accelerator, medianSpeed(speeds, group)]),
  );
}

function medianSpeed(speeds: SpeedEstimates, group: readonly EngineView[]): EngineSpeed {
  const estimates = group.map((view) => speeds.get(view.machine.name) ?? UNKNOWN_SPEED);
  const prefill = median(estimates.map((speed) => speed.prefillTokensPerSecond));
  const step = median(estimates.map((speed) => speed.decodeStepMs)) || DEFAULT_DECODE_STEP_MS;
  const batch = median(group.map((view) => view.report?.maxBatch ?? 0)) || 1;
  return {
    prefillTokensPerSecond: prefill || DEFAULT_PREFILL_TOKENS_PER_SECOND,
    decodeTokensPerSecond: (batch * MS_PER_SECOND) / (step * FULL_BATCH_STEP_FACTOR),
  };
}

function updateSpeedEstimate(previous: SpeedEstimate, view: EngineView): SpeedEstimate {
  const report = view.report;
  if (report === null) {
    return previous;
  }
  const { prefillTokensPerSecond: prefill, decodeStepMs: step } = report.load;
  // A decode engine prefills in small chunks by design, so its prefill speed is not its maximum.
  const observedPrefill = report.role === 'decode' ? 0 : prefill;
  return {
    prefillTokensPerSecond: Math.max(
      observedPrefill,
      previous.prefillTokensPerSecond * RETENTION_PER_REPORT,
    ),
    decodeStepMs: shortest(step, previous.decodeStepMs / RETENTION_PER_REPORT),
  };
}

function shortest(observed: number, previous: number): number {
  if (observed <= 0 || previous <= 0) {
    return Math.max(observed, previous);
  }
  return Math.min(observed, previous);
}

function median(values: readonly number[]): number {
  const known = values.filter((value) => value > 0).sort((left, right) => left - right);
  return known[Math.floor(known.length / 2)] ?? 0;
}
