/**
 * This daemon's estimate of one engine's load: its own prompts queued there, and how much longer than
 * expected recent prompts took, which shows work of other daemons that they have not reported.
 *
 * Engines read prompts that can meet their latency target before those that cannot. So a prompt that can
 * waits only for others that can, and a late one waits for all.
 */

/** Half-life of the estimate of other daemons' unreported work. */
const EXCESS_HALF_LIFE_MS = 400;
const EXCESS_WEIGHT = 0.5;
const MAX_EXCESS_MS = 3_000;
/** A read counts as needing at least this share of its expected time until it has finished. */
const MIN_REMAINING_SHARE = 0.25;

/** Whether a request can still meet its latency target; engines read late ones after the others. */
export type Urgency = 'in-time' | 'late';

/** The forecast for a read at the time it is sent. */
export interface ExpectedRead {
  readonly urgency: Urgency;
  /** Duration of the read without the wait. */
  readonly readMs: number;
  /** Wait before the read starts. */
  readonly waitMs: number;
}

/** A read that was sent to the engine and has not finished. */
export interface PendingRead extends ExpectedRead {
  readonly startedAtMs: number;
}

/** Engines do not interrupt a read: once a late one has started, all later prompts wait for it. */
function effectiveUrgency(read: PendingRead, nowMs: number): Urgency {
  const hasBegun = nowMs >= read.startedAtMs + read.waitMs;
  return hasBegun ? 'in-time' : read.urgency;
}

/** Load of one engine as this daemon sees it. */
export class EngineLoad {
  readonly #pending = new Set<PendingRead>();
  #excessMs = 0;
  #excessAtMs = 0;
  readonly #countsOverdue: boolean;

  /** @param countsOverdue whether a read past its expected end counts as if it had not started */
  constructor(countsOverdue = false) {
    this.#countsOverdue = countsOverdue;
  }

  /** Streams of this daemon that are running at the engine. */
  running = 0;

  begin(expected: ExpectedRead, nowMs: number): PendingRead {
    const read: PendingRead = { ...expected, startedAtMs: nowMs };
    this.#pending.add(read);
    return read;
  }

  /** Records that the prompt was read. */
  finish(read: PendingRead, nowMs: number): void {
    this.#pending.delete(read);
    if (read.urgency === 'late') return;
    const observedMs = nowMs - read.startedAtMs - read.readMs - read.waitMs;
    const currentMs = this.excessMs(nowMs);
    const clippedMs = Math.min(MAX_EXCESS_MS, Math.max(0, observedMs));
    this.#excessMs = currentMs + EXCESS_WEIGHT * (clippedMs - currentMs);
    this.#excessAtMs = nowMs;
  }

  /** Removes a read that was cancelled or failed, without learning from its time. */
  abandon(read: PendingRead): void {
    this.#pending.delete(read);
  }

  /** Remaining time of this daemon's pending reads of one urgency. */
  pendingMs(urgency: Urgency, nowMs: number): number {
    let remainingMs = 0;
    for (const read of this.#pending) {
      if (effectiveUrgency(read, nowMs) !== urgency) continue;
      remainingMs += this.#remainingMs(read, nowMs);
    }
    return remainingMs;
  }

  #remainingMs({ readMs, startedAtMs, waitMs }: PendingRead, nowMs: number): number {
    const spentMs = Math.max(0, nowMs - startedAtMs - waitMs);
    // Past its expected end: it is still queued, behind work that was not known when it was sent.
    if (this.#countsOverdue && spentMs > readMs) return readMs;
    return Math.max(MIN_REMAINING_SHARE * readMs, readMs - spentMs);
  }

  /** Estimated work of other daemons beyond what they have reported. */
  excessMs(nowMs: number): number {
    // Every plan calls this for all engines and most have no excess: computing the power would dominate the cost.
    if (this.#excessMs === 0) return 0;
    return this.#excessMs * 0.5 ** ((nowMs - this.#excessAtMs) / EXCESS_HALF_LIFE_MS);
  }
}
