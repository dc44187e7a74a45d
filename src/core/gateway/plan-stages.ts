/**
 * Decides which engines switch between the prefill and the decode stage. The best split is the one with the
 * lowest utilization of the busier stage, relative to the utilization that each stage can bear. An engine serves
 * nothing while it switches, so engines switch one at a time (a few in a large fleet), only when a stage is
 * overloaded, and only when that lowers its utilization enough.
 *
 * Streams go on only at the software version that they began at, so no version loses its last decode engine to a switch.
 *
 * Engines fail together. So enough decode engines are kept that one is left after the tolerated losses, spread
 * over all zones; and when no decode engine can be reached, several prefill engines are switched at once,
 * whatever the load. The prefill stage needs no such reserve, as decode engines can read prompts too.
 *
 * While many engines are starting, after a loss, none is switched: it would be out of service for as long as those
 * take to boot, when every engine is needed, and they will change the split. Engines that are leaving do not
 * count towards the split.
 */
import type { EngineStage, ServerRecord } from './server-directory.js';
import { isCompatible } from './stream-origin.js';

/** With fewer requests the mix of work is not known well enough. */
const MIN_REQUESTS = 30;
/** Utilization of a stage up to which bursts of requests still find a free engine. */
const MAX_UTILIZATION = { prefill: 0.35, decode: 0.7 } as const;
/** A switch has to lower the utilization of the busier stage to at most this share of what it was. */
const MAX_RELIEVED_SHARE = 0.85;
/** At most this share of all engines switches at once, and half of those wanted, as demand may change again. */
const MAX_SWITCHING_SHARE = 0.1;
/** While starting engines are at least this share of the present ones, no engine is switched. */
const MANY_STARTING_SHARE = 0.1;
/** From this number of engines on, each stage keeps a spare engine, so that it survives the loss of one. */
const MIN_ENGINES_FOR_SPARE = 4;
const STAGE_ENGINES_WITH_SPARE = 2;
/** Simultaneous losses of decode engines that have to leave one: without any, no request is answered. */
const TOLERATED_LOSSES = 2;
/** The decode engines reserved for that are at most this share of all engines. */
const MAX_SPARE_SHARE = 0.4;

/** Work of a service, as the number of engines of typical pace that it keeps busy. */
export interface StageNeed {
  readonly prefillEngines: number;
  readonly decodeEngines: number;
  /** Number of requests that the estimate is based on. */
  readonly requests: number;
}

/** Input to `planStageChanges`. */
export interface StagePlanInput {
  readonly engines: readonly ServerRecord[];
  readonly need: StageNeed;
  /** Engines that are ordered or booting. */
  readonly startingEngines: number;
  /** Work in progress at an engine; the least busy one is switched. */
  busyOf(engineId: string): number;
  /** An engine's pace relative to the typical one; omitted where all engines have the same pace. */
  paceOf?(engineId: string): number;
}

/** An engine that should switch its stage. */
export interface StageChange {
  readonly engine: ServerRecord;
  readonly stage: EngineStage;
  readonly wantedPrefill: number;
  readonly currentPrefill: number;
}

/** The next switches; empty when the split is good enough. */
export function planStageChanges(input: StagePlanInput): readonly StageChange[] {
  const { engines, need, startingEngines } = input;
  const total = engines.length;
  if (need.requests < MIN_REQUESTS || total < 3) return [];
  if (startingEngines >= MANY_STARTING_SHARE * total) return [];
  const currentPrefill = engines.filter((engine) => engine.stage === 'prefill').length;
  const peakUtilizationWith = peakUtilizationOf(input);
  const wantedPrefill = bestPrefillCount(total, peakUtilizationWith);
  const current = peakUtilizationWith(currentPrefill);
  if (wantedPrefill === currentPrefill || current < 1) return [];
  if (peakUtilizationWith(wantedPrefill) > MAX_RELIEVED_SHARE * current) return [];
  const stage: EngineStage = wantedPrefill > currentPrefill ? 'prefill' : 'decode';
  const movable = engines.filter((engine) => engine.stage !== stage);
  const gap = Math.abs(wantedPrefill - currentPrefill);
  const maxAtOnce = Math.max(
    1,
    Math.min(Math.floor(total * MAX_SWITCHING_SHARE), Math.ceil(gap / 2)),
  );
  const count = Math.min(maxAtOnce, movable.length - 1);
  const mayPick = stage === 'prefill' ? leavesOneOfVersion(movable) : () => true;
  return pickLeastBusy(movable, count, input, mayPick).map((engine) => ({
    engine,
    stage,
    wantedPrefill,
    currentPrefill,
  }));
}

/** Input to `planDecodeRecovery`. */
export interface DecodeRecoveryInput extends Omit<StagePlanInput, 'need' | 'startingEngines'> {
  /** Whether calls reach the engine. */
  isReachable(engineId: string): boolean;
}

/**
 * The switches that restore the decode stage when none of its engines can be reached, as no request is answered
 * without it. Switches one engine more than the tolerated losses, but at most half of the reachable prefill engines
 * (one if there is only one).
 */
export function planDecodeRecovery(input: DecodeRecoveryInput): readonly StageChange[] {
  const { engines } = input;
  const reachable = engines.filter(({ id }) => input.isReachable(id));
  const prefillReachable = reachable.filter(({ stage }) => stage === 'prefill');
  const isDecodeLost = engines.length > 0 && reachable.every(({ stage }) => stage !== 'decode');
  if (!isDecodeLost || prefillReachable.length === 0) return [];
  const count = Math.max(
    1,
    Math.min(TOLERATED_LOSSES + 1, Math.floor(prefillReachable.length / 2)),
  );
  const currentPrefill = engines.filter(({ stage }) => stage === 'prefill').length;
  const wantedPrefill = currentPrefill - count;
  return pickLeastBusy(prefillReachable, count, input).map((engine) => ({
    engine,
    stage: 'decode',
    wantedPrefill,
    currentPrefill,
  }));
}

/** Whether an engine may be picked after those already picked. */
type MayPick = (engine: ServerRecord, picked: readonly ServerRecord[]) => boolean;

/** Picks engines to switch one after the other, each by `leastBusyOfLargestZone` of those that are left. */
function pickLeastBusy(
  movable: readonly ServerRecord[],
  count: number,
  input: Pick<StagePlanInput, 'busyOf'>,
  mayPick: MayPick = () => true,
): readonly ServerRecord[] {
  const picked: ServerRecord[] = [];
  while (picked.length < count) {
    const left = movable.filter((engine) => !picked.includes(engine) && mayPick(engine, picked));
    if (left.length === 0) break;
    picked.push(leastBusyOfLargestZone(left, input));
  }
  return picked;
}

/** Whether another engine of the same software version stays in the stage. */
function leavesOneOfVersion(staged: readonly ServerRecord[]): MayPick {
  return (engine, picked) =>
    staged.some(
      (other) => other !== engine && !picked.includes(other) && isCompatible(engine, other),
    );
}

/** The least busy engine of the zone with the most movable engines: the stage stays spread over zones. */
function leastBusyOfLargestZone(
  movable: readonly ServerRecord[],
  { busyOf }: Pick<StagePlanInput, 'busyOf'>,
): ServerRecord {
  const countOf = (zone: string) => movable.filter((engine) => engine.zone === zone).length;
  const largestCount = Math.max(...movable.map(({ zone }) => countOf(zone)));
  return movable
    .filter(({ zone }) => countOf(zone) === largestCount)
    .reduce((least, candidate) => (busyOf(candidate.id) < busyOf(least.id) ? candidate : least));
}

/** Engines that the work needs for bursts to find a free one in either stage. */
export function requiredEngines({ prefillEngines, decodeEngines }: StageNeed): number {
  return Math.ceil(
    prefillEngines / MAX_UTILIZATION.prefill + decodeEngines / MAX_UTILIZATION.decode,
  );
}

function bestPrefillCount(
  total: number,
  peakUtilizationWith: (prefillCount: number) => number,
): number {
  const minCount = total >= MIN_ENGINES_FOR_SPARE ? STAGE_ENGINES_WITH_SPARE : 1;
  const reservedDecode = Math.min(TOLERATED_LOSSES + 1, Math.floor(total * MAX_SPARE_SHARE));
  const maxCount = total - Math.max(minCount, reservedDecode);
  let best = minCount;
  for (let count = minCount + 1; count <= maxCount; count += 1) {
    if (peakUtilizationWith(count) < peakUtilizationWith(best)) best = count;
  }
  return best;
}

/**
 * Relative utilization of the busier stage for a number of prefill engines; above 1 bursts queue. Engines that
 * switch are assumed to have the mean pace of the stage that they leave.
 */
function peakUtilizationOf({
  engines,
  need,
  paceOf,
}: StagePlanInput): (prefillCount: number) => number {
  const pacesOf = (stage: EngineStage) =>
    engines.filter((engine) => engine.stage === stage).map(({ id }) => paceOf?.(id) ?? 1);
  const [prefillPaces, decodePaces] = [pacesOf('prefill'), pacesOf('decode')];
  return (prefillCount) => {
    const moved = prefillCount - prefillPaces.length;
    const movedPace = moved * meanOf(moved > 0 ? decodePaces : prefillPaces);
    const prefill = need.prefillEngines / Math.max(1, sumOf(prefillPaces) + movedPace);
    const decode = need.decodeEngines / Math.max(1, sumOf(decodePaces) - movedPace);
    return Math.max(prefill / MAX_UTILIZATION.prefill, decode / MAX_UTILIZATION.decode);
  };
}

function sumOf(paces: readonly number[]): number {
  return paces.reduce((sum, pace) => sum + pace, 0);
}

function meanOf(paces: readonly number[]): number {
  return paces.length === 0 ? 1 : sumOf(paces) / paces.length;
}
