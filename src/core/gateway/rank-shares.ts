/**
 * Estimates how much of the work queued at an engine is read before a prompt of a given rank. Engines read prompts by
 * rank, but the daemons' load reports have no ranks. So the ranks of the requests that this daemon sent are taken as a
 * sample of those of all daemons, as callers are distributed over the daemons.
 */

import type { EnginePlan } from './choose-engine.js';

/** Time in which sent work decays to 1/e: long enough for some requests of each rank at each of many daemons. */
const DECAY_TIME_MS = 10_000;
/** Prior: this many sends of the size of the latest one count towards every rank. */
const PRIOR_SENDS = 1;
/** More urgent prompts are assumed to leave at least this share of an engine's time, as the sample is small. */
const MIN_REMAINING_SHARE = 0.5;

/** Work recently sent to one service, by the rank that the operator configured. */
export class RankShares {
  readonly #workMs = new Map<number, number>();
  #totalMs = 0;
  #newestMs = 0;
  #atMs = 0;

  /** Records a sent prompt and its expected read time. */
  recordRequest(rank: number, readMs: number, nowMs: number): void {
    this.#decay(nowMs);
    this.#workMs.set(rank, (this.#workMs.get(rank) ?? 0) + readMs);
    this.#totalMs += readMs;
    this.#newestMs = readMs;
  }

  /**
   * Factor from the work queued at an engine to the wait of a prompt of this rank: less urgent work does not delay
   * it, while more urgent work that arrives meanwhile is read first. 1 until something was sent.
   */
  waitFactor(rank: number): number {
    let upToRankMs = 0;
    let moreUrgentMs = 0;
    for (const [other, workMs] of this.#workMs) {
      if (other <= rank) upToRankMs += workMs;
      if (other < rank) moreUrgentMs += workMs;
    }
    const priorMs = PRIOR_SENDS * this.#newestMs;
    if (this.#totalMs + priorMs <= 0) return 1;
    const upToRankShare = (upToRankMs + priorMs) / (this.#totalMs + priorMs);
    const remainingShare = 1 - moreUrgentMs / (this.#totalMs + priorMs);
    return upToRankShare / Math.max(MIN_REMAINING_SHARE, remainingShare);
  }

  #decay(nowMs: number): void {
    const retained = Math.exp(-Math.max(0, nowMs - this.#atMs) / DECAY_TIME_MS);
    this.#atMs = nowMs;
    this.#totalMs = 0;
    for (const [rank, workMs] of this.#workMs) {
      this.#workMs.set(rank, workMs * retained);
      this.#totalMs += workMs * retained;
    }
  }
}

/**
 * Adapts a plan to the wait of a rank. The engine stays the same, as the factor applies to the wait at every engine.
 * @param latencyBudgetMs what is left of the request's latency budget
 */
export function planAtRank(
  plan: EnginePlan,
  waitFactor: number,
  latencyBudgetMs: number,
): EnginePlan {
  const waitMs = plan.read.waitMs * waitFactor;
  const expectedMs = plan.expectedMs - plan.read.waitMs + waitMs;
  const urgency = expectedMs <= latencyBudgetMs ? 'in-time' : 'late';
  return { ...plan, expectedMs, read: { ...plan.read, waitMs, urgency } };
}
