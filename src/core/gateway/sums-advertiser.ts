/**
 * What a relay tells its zone: the sums as a whole now and then, and in between what has changed. Time passing is no
 * change, as whoever was told counts it too.
 *
 * More engines change at once than there are bytes for when a large fleet is busy. Then those are told of which what
 * was told before is furthest off, and the sums are not called whole: what is left out is as it was told, and its turn
 * comes. Sums that are called whole but lack a part would make engines look idle to every daemon of the zone.
 */
import type { EngineWork } from './peer-load.js';
import { RELAY_REFRESH_MS } from './peer-roster.js';

/** An engine's work that ends within so much of what was told before is not told again. */
const SAME_END_MS = 8;

/** Sums to be told. */
export interface AdvertisedSums {
  /** Whether engines that are left out have no work; otherwise they are as told before. */
  readonly isComplete: boolean;
  readonly work: readonly EngineWork[];
}

interface ToldWork {
  readonly inTimeEndMs: number;
  readonly endMs: number;
  readonly running: number;
  readonly atMs: number;
}

/** A relay's memory of what it has told. */
export class SumsAdvertiser {
  readonly #told = new Map<string, ToldWork>();
  #lastWholeMs = Number.NEGATIVE_INFINITY;

  /**
   * What is to be told now; it counts as told from here on.
   * @param maxEntries how many engines there are bytes for
   */
  next(
    totals: readonly EngineWork[],
    nowMs: number,
    maxEntries = Number.POSITIVE_INFINITY,
  ): AdvertisedSums {
    const isDue = nowMs - this.#lastWholeMs >= RELAY_REFRESH_MS;
    if (isDue && totals.length <= maxEntries) return this.#tellWhole(totals, nowMs);
    const changed = this.#changedSince(totals, isDue, nowMs);
    const work = changed.length <= maxEntries ? changed : this.#furthestOff(changed, nowMs);
    return { isComplete: false, work: this.#noteTold(work.slice(0, maxEntries), nowMs) };
  }

  #tellWhole(totals: readonly EngineWork[], nowMs: number): AdvertisedSums {
    this.#lastWholeMs = nowMs;
    this.#told.clear();
    return { isComplete: true, work: this.#noteTold(totals, nowMs) };
  }

  #noteTold(work: readonly EngineWork[], nowMs: number): readonly EngineWork[] {
    for (const { engineId, pendingMs, lateMs, running } of work) {
      const inTimeEndMs = nowMs + pendingMs;
      const told = { inTimeEndMs, endMs: inTimeEndMs + lateMs, running, atMs: nowMs };
      this.#told.set(engineId, told);
    }
    return work;
  }

  /**
   * What differs from what was told, engines that have no work any more among it.
   * @param isDue whether what was told long ago is to be told again, as it may have been lost
   */
  #changedSince(
    totals: readonly EngineWork[],
    isDue: boolean,
    nowMs: number,
  ): readonly EngineWork[] {
    const oldestMs = isDue ? nowMs - RELAY_REFRESH_MS : Number.NEGATIVE_INFINITY;
    const isKnown = (work: EngineWork) => {
      const told = this.#told.get(work.engineId);
      return told !== undefined && told.atMs > oldestMs && isAsTold(work, told, nowMs);
    };
    const changed = totals.filter((work) => !isKnown(work));
    const present = new Set(totals.map(({ engineId }) => engineId));
    for (const [engineId, told] of this.#told) {
      const none = { engineId, pendingMs: 0, lateMs: 0, running: 0 };
      if (!present.has(engineId) && !isAsTold(none, told, nowMs)) changed.push(none);
    }
    return changed;
  }

  /** By the work that others are mistaken about; of equals, what was told longest ago. */
  #furthestOff(changed: readonly EngineWork[], nowMs: number): readonly EngineWork[] {
    const ranked = changed.map((work) => {
      const told = this.#told.get(work.engineId);
      return { work, offMs: offMs(work, told, nowMs), atMs: told?.atMs ?? 0 };
    });
    ranked.sort((one, other) => other.offMs - one.offMs || one.atMs - other.atMs);
    return ranked.map(({ work }) => work);
  }
}

/** How far the ends of an engine's work are from what was told. */
function offMs(work: EngineWork, told: ToldWork | undefined, nowMs: number): number {
  const inTimeEndMs = nowMs + work.pendingMs;
  const toldInTimeMs = Math.max(nowMs, told?.inTimeEndMs ?? nowMs);
  const toldEndMs = Math.max(nowMs, told?.endMs ?? nowMs);
  return Math.abs(inTimeEndMs - toldInTimeMs) + Math.abs(inTimeEndMs + work.lateMs - toldEndMs);
}

function isAsTold(work: EngineWork, told: ToldWork, nowMs: number): boolean {
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
