/**
 * How long the more urgent kinds of request of a service can wait and be in time, learnt from those that came
 * lately. What is less urgent leaves servers half of that, so that an urgent request that comes next finds room.
 */

/** A kind that has not come for this long holds nothing back any more. */
const KIND_KEPT_MS = 10_000;
const NEWEST_WEIGHT = 0.2;
/** The part of the urgent kinds' slack that less urgent ones may fill; the rest is theirs. */
const FILLED_SHARE = 0.5;

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
  note(rank: number, slackMs: number, nowMs: number): void {
    const known = this.#recent(rank, nowMs);
    const current = known?.slackMs ?? slackMs;
    this.#kinds.set(rank, { slackMs: current + NEWEST_WEIGHT * (slackMs - current), atMs: nowMs });
  }

  /** The longest wait at a server that a request of this rank may join; infinite for the most urgent. */
  mostWaitMs(rank: number, nowMs: number): number {
    let mostMs = Number.POSITIVE_INFINITY;
    for (const [other, { slackMs }] of this.#kinds) {
      // What can't be in time even where nothing waits is not helped by an empty server.
      if (other >= rank || slackMs <= 0 || this.#recent(other, nowMs) === undefined) continue;
      mostMs = Math.min(mostMs, FILLED_SHARE * slackMs);
    }
    return mostMs;
  }

  #recent(rank: number, nowMs: number): KindSlack | undefined {
    const known = this.#kinds.get(rank);
    return known === undefined || nowMs - known.atMs > KIND_KEPT_MS ? undefined : known;
  }
}
