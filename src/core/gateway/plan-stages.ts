/**
 * Decides when an engine changes its stage. Each stage has work for so many engines; the split is best
 * where the stage that is fuller for its kind of work is least full. An engine is away while it changes,
 * so one is moved at a time, a few where there are many, only when a stage is full, and only where that
 * relieves it well.
 *
 * Engines fail together. So as many generate as leave one after the losses that are to be borne, in as many
 * zones as there are; and when none of them can be reached, several that read are ordered over at once,
 * whatever the work is. Reading needs no such care: engines that generate read as well.
 *
 * While many engines are coming, after a loss, none is ordered over: it would be away for as long as those take to
 * boot, when every engine counts, and what they will do is part of the split. Those that leave are not in it.
 */
import type { EngineStage, ServerRecord } from './server-directory.js';

/** Fewer requests say too little about the mix. */
const LEAST_REQUESTS = 30;
/** Parts of a stage's time below which work that comes unevenly still finds an engine free. */
const FULL_SHARE = { prefill: 0.35, decode: 0.7 } as const;
/** A move has to bring the fuller stage down at least to this part of what it was. */
const RELIEF_SHARE = 0.85;
/** Of many engines this part is ordered at once; half of what is wanted, as the demand may turn. */
const MOST_AWAY_SHARE = 0.1;
/** From this part of the engines that are there, those that are coming are waited for. */
const MANY_COMING_SHARE = 0.1;
/** The loss of one engine is to leave one of its stage, where there are this many in all. */
const ENGINES_FOR_SPARES = 4;
const ENGINES_WITH_SPARE = 2;
/** So many engines that generate may go at once and leave one; without any, nothing is answered. */
const LOSSES_TO_BEAR = 2;
/** For that, a stage never keeps more than this part of all engines. */
const MOST_SPARE_SHARE = 0.4;

/** Work of a service, in engines of the usual pace that it keeps busy. */
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
  /** Engines under order or booting. */
  readonly startingEngines: number;
  /** What an engine has under way; the one with least is moved. */
  busyOf(engineId: string): number;
  /** An engine's pace against the usual one; left out where all have one pace. */
  paceOf?(engineId: string): number;
}

/** An engine that is to change its stage. */
export interface StageChange {
  readonly engine: ServerRecord;
  readonly stage: EngineStage;
  readonly wantedPrefill: number;
  readonly currentPrefill: number;
}

/** The next changes; none when the split is good enough. */
export function planStageChanges(input: StagePlanInput): readonly StageChange[] {
  const { engines, need, startingEngines } = input;
  const total = engines.length;
  if (need.requests < LEAST_REQUESTS || total < 3) return [];
  if (startingEngines >= MANY_COMING_SHARE * total) return [];
  const currentPrefill = engines.filter((engine) => engine.stage === 'prefill').length;
  const fullestWith = fullnessOf(input);
  const wantedPrefill = bestPrefillCount(total, fullestWith);
  const current = fullestWith(currentPrefill);
  if (wantedPrefill === currentPrefill || current < 1) return [];
  if (fullestWith(wantedPrefill) > RELIEF_SHARE * current) return [];
  const stage: EngineStage = wantedPrefill > currentPrefill ? 'prefill' : 'decode';
  const movable = engines.filter((engine) => engine.stage !== stage);
  const gap = Math.abs(wantedPrefill - currentPrefill);
  const atOnce = Math.max(1, Math.min(Math.floor(total * MOST_AWAY_SHARE), Math.ceil(gap / 2)));
  const count = Math.min(atOnce, movable.length - 1);
  return leastMissedOf(movable, count, input).map((engine) => ({
    engine,
    stage,
    wantedPrefill,
    currentPrefill,
  }));
}

/** What a rescue is decided from. */
export interface DecodeRecoveryInput extends Omit<StagePlanInput, 'need' | 'startingEngines'> {
  /** Whether calls to an engine come through. */
  isReachable(engineId: string): boolean;
}

/**
 * The changes that bring back a stage that generates when none of its engines can be reached: nothing is
 * answered without it. As many as may be lost and one, but never more than half of those that read.
 */
export function planDecodeRecovery(input: DecodeRecoveryInput): readonly StageChange[] {
  const { engines } = input;
  const reachable = engines.filter(({ id }) => input.isReachable(id));
  const readers = reachable.filter(({ stage }) => stage === 'prefill');
  const isLost = engines.length > 0 && reachable.every(({ stage }) => stage !== 'decode');
  if (!isLost || readers.length === 0) return [];
  const count = Math.max(1, Math.min(LOSSES_TO_BEAR + 1, Math.floor(readers.length / 2)));
  const currentPrefill = engines.filter(({ stage }) => stage === 'prefill').length;
  const wantedPrefill = currentPrefill - count;
  return leastMissedOf(readers, count, input).map((engine) => ({
    engine,
    stage: 'decode',
    wantedPrefill,
    currentPrefill,
  }));
}

/** So many of the engines that may be moved, picked one after the other. */
function leastMissedOf(
  movable: readonly ServerRecord[],
  count: number,
  input: Pick<StagePlanInput, 'busyOf'>,
): readonly ServerRecord[] {
  const picked: ServerRecord[] = [];
  while (picked.length < count) {
    const left = movable.filter((engine) => !picked.includes(engine));
    picked.push(leastMissed(left, input));
  }
  return picked;
}

/** Of the zone that has most of a stage's engines, the one with least to do. */
function leastMissed(
  movable: readonly ServerRecord[],
  { busyOf }: Pick<StagePlanInput, 'busyOf'>,
): ServerRecord {
  const countOf = (zone: string) => movable.filter((engine) => engine.zone === zone).length;
  const most = Math.max(...movable.map(({ zone }) => countOf(zone)));
  return movable
    .filter(({ zone }) => countOf(zone) === most)
    .reduce((least, candidate) => (busyOf(candidate.id) < busyOf(least.id) ? candidate : least));
}

/** Engines with which work that comes unevenly still finds one free in either stage. */
export function requiredEngines({ prefillEngines, decodeEngines }: StageNeed): number {
  return Math.ceil(prefillEngines / FULL_SHARE.prefill + decodeEngines / FULL_SHARE.decode);
}

function bestPrefillCount(total: number, fullestWith: (prefillCount: number) => number): number {
  const least = total >= ENGINES_FOR_SPARES ? ENGINES_WITH_SPARE : 1;
  const spared = Math.min(LOSSES_TO_BEAR + 1, Math.floor(total * MOST_SPARE_SHARE));
  const most = total - Math.max(least, spared);
  let best = least;
  for (let count = least + 1; count <= most; count += 1) {
    if (fullestWith(count) < fullestWith(best)) best = count;
  }
  return best;
}

/**
 * How full the fuller stage would be with so many engines that read; above 1 its work queues. Engines that
 * change their stage are taken to be of the mean pace of the stage that they come from.
 */
function fullnessOf({ engines, need, paceOf }: StagePlanInput): (prefillCount: number) => number {
  const pacesOf = (stage: EngineStage) =>
    engines.filter((engine) => engine.stage === stage).map(({ id }) => paceOf?.(id) ?? 1);
  const [reading, others] = [pacesOf('prefill'), pacesOf('decode')];
  return (prefillCount) => {
    const moved = prefillCount - reading.length;
    const movedPace = moved * meanOf(moved > 0 ? others : reading);
    const prefill = need.prefillEngines / Math.max(1, sumOf(reading) + movedPace);
    const decode = need.decodeEngines / Math.max(1, sumOf(others) - movedPace);
    return Math.max(prefill / FULL_SHARE.prefill, decode / FULL_SHARE.decode);
  };
}

function sumOf(paces: readonly number[]): number {
  return paces.reduce((sum, pace) => sum + pace, 0);
}

function meanOf(paces: readonly number[]): number {
  return paces.length === 0 ? 1 : sumOf(paces) / paces.length;
}
