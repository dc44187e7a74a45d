/**
 * How long the more urgent kinds of request of a service can wait and be in time, learnt from those that came
 * lately. What is less urgent is sent only where that is left, so that an urgent request that comes next finds
 * room, and no less urgent kind is served more.
 */

/** A kind that has not come for this long holds nothing back any more. */
const KIND_KEPT_MS = 10_000;
const NEWEST_WEIGHT = 0.2;

interface KindSlack {
  readonly slackMs: number;
  readonly atMs: number;
}

/** The kinds of one service, by the operator's rank. */
export class UrgentSlack {
  readonly #kinds = new Map<number, KindSlack>();

  /**
   * A request of this rank came.
   * @param slackMs how long it could have waited; at most 0 where it can't be in time at all
   */
  recordRequest(rank: number, slackMs: number, nowMs: number): void {
    const known = this.#recent(rank, nowMs);
    const current = known?.slackMs ?? slackMs;
    this.#kinds.set(rank, { slackMs: current + NEWEST_WEIGHT * (slackMs - current), atMs: nowMs });
  }

  /** The least that a more urgent kind can wait; infinite for the most urgent. */
  minSlackMs(rank: number, nowMs: number): number {
    let minSlackMs = Number.POSITIVE_INFINITY;
    for (const [other, { slackMs }] of this.#kinds) {
      // What can't be in time even where nothing waits is not helped by an empty server.
      if (other >= rank || slackMs <= 0 || this.#recent(other, nowMs) === undefined) continue;
      minSlackMs = Math.min(minSlackMs, slackMs);
    }
    return minSlackMs;
  }

  #recent(rank: number, nowMs: number): KindSlack | undefined {
    const known = this.#kinds.get(rank);
    return known === undefined || nowMs - known.atMs > KIND_KEPT_MS ? undefined : known;
  }
}
