/**
 * What a relay tells its zone: the sums as a whole now and then, and in between what has changed. Time
 * passing is no change, as whoever was told counts it too.
 */
import type { EngineWork } from './peer-load.js';
import { RELAY_REFRESH_MS } from './peer-roster.js';

/** An engine's work that ends within so much of what was told before is not told again. */
const SAME_END_MS = 8;

/** Sums to be told. */
export interface ToldSums {
  /** Whether engines that are left out have no work; otherwise they are as told before. */
  readonly isWhole: boolean;
  readonly work: readonly EngineWork[];
}

interface ToldWork {
  readonly inTimeEndMs: number;
  readonly endMs: number;
  readonly running: number;
}

/** A relay's memory of what it has told. */
export class SumsToTell {
  readonly #told = new Map<string, ToldWork>();
  #lastWholeMs = Number.NEGATIVE_INFINITY;

  /** What is to be told now; it counts as told from here on. */
  next(totals: readonly EngineWork[], nowMs: number): ToldSums {
    const isWhole = nowMs - this.#lastWholeMs >= RELAY_REFRESH_MS;
    const work = isWhole ? totals : this.#changedSince(totals, nowMs);
    if (isWhole) {
      this.#lastWholeMs = nowMs;
      this.#told.clear();
    }
    for (const { engineId, pendingMs, lateMs, running } of work) {
      const inTimeEndMs = nowMs + pendingMs;
      this.#told.set(engineId, { inTimeEndMs, endMs: inTimeEndMs + lateMs, running });
    }
    return { isWhole, work };
  }

  /** What differs from what was told, engines that have no work any more among it. */
  #changedSince(totals: readonly EngineWork[], nowMs: number): readonly EngineWork[] {
    const changed = totals.filter((work) => !isAsTold(work, this.#told.get(work.engineId), nowMs));
    const present = new Set(totals.map(({ engineId }) => engineId));
    for (const [engineId, told] of this.#told) {
      const none = { engineId, pendingMs: 0, lateMs: 0, running: 0 };
      if (!present.has(engineId) && !isAsTold(none, told, nowMs)) changed.push(none);
    }
    return changed;
  }
}

function isAsTold(work: EngineWork, told: ToldWork | undefined, nowMs: number): boolean {
  if (told === undefined) return false;
  const inTimeEndMs = nowMs + work.pendingMs;
  const isSame =
    isSameEnd(inTimeEndMs, told.inTimeEndMs, nowMs) &&
    isSameEnd(inTimeEndMs + work.lateMs, told.endMs, nowMs);
  return told.running === work.running && isSame;
}

/** Ends that have passed are all the same. */
function isSameEnd(endMs: number, toldEndMs: number, nowMs: number): boolean {
  const isOver = endMs <= nowMs && toldEndMs <= nowMs;
  return isOver || Math.abs(endMs - toldEndMs) <= SAME_END_MS;
}
