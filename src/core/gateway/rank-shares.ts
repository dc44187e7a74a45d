/**
 * How much of the work that waits at an engine is read before a prompt of some rank. Engines take prompts by
 * rank, but what daemons tell each other of their work has no ranks: this daemon's own sendings stand for those
 * of all, as callers are spread over the daemons.
 */

import type { EnginePlan } from './choose-engine.js';

/** The time over which what was sent fades to 1/e: some requests of each kind, at each of many daemons. */
const FADE_MS = 10_000;
/** Work that counts as sent at any rank before anything is known, in sendings of the newest one's size. */
const UNKNOWN_SENDINGS = 1;
/** More urgent prompts are taken to leave this part of an engine's time at least: what was sent is a small sample. */
const LEAST_LEFT_SHARE = 0.5;

/** The work that was sent lately to one service, by the operator's rank. */
export class RankShares {
  readonly #workMs = new Map<number, number>();
  #totalMs = 0;
  #newestMs = 0;
  #atMs = 0;

  /** A prompt was sent that takes so long to be read. */
  recordRequest(rank: number, readMs: number, nowMs: number): void {
    this.#fade(nowMs);
    this.#workMs.set(rank, (this.#workMs.get(rank) ?? 0) + readMs);
    this.#totalMs += readMs;
    this.#newestMs = readMs;
  }

  /**
   * What the work that waits at an engine is multiplied by to have the wait of a prompt of this rank: less urgent
   * work does not count, and more urgent work that comes meanwhile goes before it. 1 while nothing is known.
   */
  waitFactor(rank: number): number {
    let upToMs = 0;
    let aboveMs = 0;
    for (const [other, workMs] of this.#workMs) {
      if (other <= rank) upToMs += workMs;
      if (other < rank) aboveMs += workMs;
    }
    const unknownMs = UNKNOWN_SENDINGS * this.#newestMs;
    if (this.#totalMs + unknownMs <= 0) return 1;
    const upToShare = (upToMs + unknownMs) / (this.#totalMs + unknownMs);
    const leftShare = 1 - aboveMs / (this.#totalMs + unknownMs);
    return upToShare / Math.max(LEAST_LEFT_SHARE, leftShare);
  }

  #fade(nowMs: number): void {
    const kept = Math.exp(-Math.max(0, nowMs - this.#atMs) / FADE_MS);
    this.#atMs = nowMs;
    this.#totalMs = 0;
    for (const [rank, workMs] of this.#workMs) {
      this.#workMs.set(rank, workMs * kept);
      this.#totalMs += workMs * kept;
    }
  }
}

/**
 * A plan with the wait of a rank. Which engine is best is not asked again: the wait at each is longer or shorter
 * by the same factor.
 * @param latencyBudgetMs what is left of the time in which an answer is in time
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
