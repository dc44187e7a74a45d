/**
 * What this daemon expects of one engine's time: the prompts it has waiting there, and how much longer
 * than expected recent prompts took, which shows the work that other daemons sent.
 *
 * Prompts that can still be in time go before those that cannot, so a prompt that is in time waits for
 * its like only, and a late one for all.
 */

/** How fast a belief about other daemons' work fades. */
const EXCESS_HALF_LIFE_MS = 400;
const EXCESS_WEIGHT = 0.5;
const MOST_EXCESS_MS = 3_000;
/** A read that takes longer than expected still takes this part of what was expected of it. */
const LEAST_LEFT_SHARE = 0.25;

/** Whether a request can still be answered within its target; engines take the others after these. */
export type Urgency = 'in-time' | 'late';

/** What is expected of a read when it is sent. */
export interface ExpectedRead {
  readonly urgency: Urgency;
  /** The read itself. */
  readonly readMs: number;
  /** Before it is begun. */
  readonly waitMs: number;
}

/** A prompt being read. */
export interface PendingRead extends ExpectedRead {
  readonly startedAtMs: number;
}

/** A late prompt that has begun is read to its end, so what comes after waits for it as for any. */
function urgencyNow(read: PendingRead, nowMs: number): Urgency {
  const hasBegun = nowMs >= read.startedAtMs + read.waitMs;
  return hasBegun ? 'in-time' : read.urgency;
}

/** Work at one engine as this daemon sees it. */
export class EngineLoad {
  readonly #pending = new Set<PendingRead>();
  #excessMs = 0;
  #excessAtMs = 0;
  readonly #countsOverdue: boolean;

  /** @param countsOverdue whether a read that should be over counts as one that has not begun */
  constructor(countsOverdue = false) {
    this.#countsOverdue = countsOverdue;
  }

  /** Streams of this daemon that run there. */
  running = 0;

  begin(expected: ExpectedRead, nowMs: number): PendingRead {
    const read: PendingRead = { ...expected, startedAtMs: nowMs };
    this.#pending.add(read);
    return read;
  }

  /** The prompt was read. */
  finish(read: PendingRead, nowMs: number): void {
    this.#pending.delete(read);
    if (read.urgency === 'late') return;
    const observedMs = nowMs - read.startedAtMs - read.readMs - read.waitMs;
    const currentMs = this.excessMs(nowMs);
    const clippedMs = Math.min(MOST_EXCESS_MS, Math.max(0, observedMs));
    this.#excessMs = currentMs + EXCESS_WEIGHT * (clippedMs - currentMs);
    this.#excessAtMs = nowMs;
  }

  /** The read was given up; nothing is learnt from it. */
  abandon(read: PendingRead): void {
    this.#pending.delete(read);
  }

  /** What is left of the prompts of one urgency that this daemon waits for. */
  pendingMs(urgency: Urgency, nowMs: number): number {
    let leftMs = 0;
    for (const read of this.#pending) {
      if (urgencyNow(read, nowMs) !== urgency) continue;
      leftMs += this.#leftMs(read, nowMs);
    }
    return leftMs;
  }

  #leftMs({ readMs, startedAtMs, waitMs }: PendingRead, nowMs: number): number {
    const spentMs = Math.max(0, nowMs - startedAtMs - waitMs);
    // It should be over: it waits for work that was not known when it was sent.
    if (this.#countsOverdue && spentMs > readMs) return readMs;
    return Math.max(LEAST_LEFT_SHARE * readMs, readMs - spentMs);
  }

  /** The work of others, beyond what they tell. */
  excessMs(nowMs: number): number {
    // Most engines have none, and a plan asks all of them: a power costs more than the rest of the question.
    if (this.#excessMs === 0) return 0;
    return this.#excessMs * 0.5 ** ((nowMs - this.#excessAtMs) / EXCESS_HALF_LIFE_MS);
  }
}
