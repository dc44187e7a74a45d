/**
 * How long the more urgent requests of a service can wait and still meet their target, learnt from recent requests by
 * rank. Less urgent requests are sent only to queues shorter than that, so that the next urgent request can still be
 * answered in time and no rank is served better than a more urgent one.
 */

/** A rank without requests for this long no longer limits the less urgent ones. */
const RANK_RETENTION_MS = 10_000;
const NEWEST_WEIGHT = 0.2;

interface RankSlack {
  readonly slackMs: number;
  readonly atMs: number;
}

/** Slack of the requests of one service, by the rank that the operator configured. */
export class UrgentSlack {
  readonly #byRank = new Map<number, RankSlack>();

  /**
   * Records the arrival of a request.
   * @param slackMs how long it can wait and still be in time; 0 or less if it would be late without any wait
   */
  recordRequest(rank: number, slackMs: number, nowMs: number): void {
    const known = this.#recent(rank, nowMs);
    const current = known?.slackMs ?? slackMs;
    this.#byRank.set(rank, { slackMs: current + NEWEST_WEIGHT * (slackMs - current), atMs: nowMs });
  }

  /** The shortest slack of the more urgent ranks; infinite if there are none. */
  minSlackMs(rank: number, nowMs: number): number {
    let minSlackMs = Number.POSITIVE_INFINITY;
    for (const [other, { slackMs }] of this.#byRank) {
      // Requests that are late even at an idle server gain nothing from a shorter queue.
      if (other >= rank || slackMs <= 0 || this.#recent(other, nowMs) === undefined) continue;
      minSlackMs = Math.min(minSlackMs, slackMs);
    }
    return minSlackMs;
  }

  #recent(rank: number, nowMs: number): RankSlack | undefined {
    const known = this.#byRank.get(rank);
    return known === undefined || nowMs - known.atMs > RANK_RETENTION_MS ? undefined : known;
  }
}
