/**
 * Selects the sums that a relay advertises to its zone: complete sums at intervals, and changes in between. Work that
 * runs down with time is no change, because receivers deduct the elapsed time themselves.
 *
 * When a large fleet is busy, more engines change at once than a message has bytes for. Then the engines whose
 * advertised work is most outdated go first, and the sums are not marked complete: engines that are left out keep their
 * advertised work until their turn comes. Sums that are marked complete but lack engines would make these look idle to
 * every daemon of the zone.
 */
import type { EngineWork } from './peer-load.js';
import { RELAY_REFRESH_MS } from './peer-roster.js';

/** Work whose expected end has moved by no more than this is not advertised again. */
const SAME_END_MS = 8;

/** Sums to be advertised. */
export interface AdvertisedSums {
  /** Whether engines that are left out have no work; otherwise their last advertised work still holds. */
  readonly isComplete: boolean;
  readonly work: readonly EngineWork[];
}

interface AdvertisedWork {
  readonly inTimeEndMs: number;
  readonly endMs: number;
  readonly running: number;
  readonly atMs: number;
}

/** Remembers which work a relay has advertised, and selects what is due. */
export class SumsAdvertiser {
  readonly #advertised = new Map<string, AdvertisedWork>();
  #lastCompleteMs = Number.NEGATIVE_INFINITY;

  /**
   * The sums that are due now; they count as advertised from here on.
   * @param maxEntries number of engines that the message has bytes for
   */
  next(
    totals: readonly EngineWork[],
    nowMs: number,
    maxEntries = Number.POSITIVE_INFINITY,
  ): AdvertisedSums {
    const isDue = nowMs - this.#lastCompleteMs >= RELAY_REFRESH_MS;
    if (isDue && totals.length <= maxEntries) return this.#completeSums(totals, nowMs);
    const changed = this.#changedSince(totals, isDue, nowMs);
    const work = changed.length <= maxEntries ? changed : this.#byError(changed, nowMs);
    return { isComplete: false, work: this.#markAdvertised(work.slice(0, maxEntries), nowMs) };
  }

  #completeSums(totals: readonly EngineWork[], nowMs: number): AdvertisedSums {
    this.#lastCompleteMs = nowMs;
    this.#advertised.clear();
    return { isComplete: true, work: this.#markAdvertised(totals, nowMs) };
  }

  #markAdvertised(work: readonly EngineWork[], nowMs: number): readonly EngineWork[] {
    for (const { engineId, pendingMs, lateMs, running } of work) {
      const inTimeEndMs = nowMs + pendingMs;
      const sent = { inTimeEndMs, endMs: inTimeEndMs + lateMs, running, atMs: nowMs };
      this.#advertised.set(engineId, sent);
    }
    return work;
  }

  /**
   * Work that differs from the advertised work, including engines that have no work any more.
   * @param isDue whether entries that were advertised long ago are due again, since their message may have been lost
   */
  #changedSince(
    totals: readonly EngineWork[],
    isDue: boolean,
    nowMs: number,
  ): readonly EngineWork[] {
    const oldestMs = isDue ? nowMs - RELAY_REFRESH_MS : Number.NEGATIVE_INFINITY;
    const isKnown = (work: EngineWork) => {
      const sent = this.#advertised.get(work.engineId);
      return sent !== undefined && sent.atMs > oldestMs && isAsSent(work, sent, nowMs);
    };
    const changed = totals.filter((work) => !isKnown(work));
    const present = new Set(totals.map(({ engineId }) => engineId));
    for (const [engineId, sent] of this.#advertised) {
      const none = { engineId, pendingMs: 0, lateMs: 0, running: 0 };
      if (!present.has(engineId) && !isAsSent(none, sent, nowMs)) changed.push(none);
    }
    return changed;
  }

  /**
   * Orders engines by the error of what receivers assume, largest first; of equal errors, the one advertised longest
   * ago first.
   */
  #byError(changed: readonly EngineWork[], nowMs: number): readonly EngineWork[] {
    const ranked = changed.map((work) => {
      const sent = this.#advertised.get(work.engineId);
      return { work, errorMs: errorMs(work, sent, nowMs), atMs: sent?.atMs ?? 0 };
    });
    ranked.sort((one, other) => other.errorMs - one.errorMs || one.atMs - other.atMs);
    return ranked.map(({ work }) => work);
  }
}

/** Difference between the ends of an engine's work and the ends that were advertised. */
function errorMs(work: EngineWork, sent: AdvertisedWork | undefined, nowMs: number): number {
  const inTimeEndMs = nowMs + work.pendingMs;
  const sentInTimeMs = Math.max(nowMs, sent?.inTimeEndMs ?? nowMs);
  const sentEndMs = Math.max(nowMs, sent?.endMs ?? nowMs);
  return Math.abs(inTimeEndMs - sentInTimeMs) + Math.abs(inTimeEndMs + work.lateMs - sentEndMs);
}

function isAsSent(work: EngineWork, sent: AdvertisedWork, nowMs: number): boolean {
  const inTimeEndMs = nowMs + work.pendingMs;
  const isSame =
    isSameEnd(inTimeEndMs, sent.inTimeEndMs, nowMs) &&
    isSameEnd(inTimeEndMs + work.lateMs, sent.endMs, nowMs);
  return sent.running === work.running && isSame;
}

/** Compares two ends; ends in the past are all equal. */
function isSameEnd(endMs: number, sentEndMs: number, nowMs: number): boolean {
  const isOver = endMs <= nowMs && sentEndMs <= nowMs;
  return isOver || Math.abs(endMs - sentEndMs) <= SAME_END_MS;
}
