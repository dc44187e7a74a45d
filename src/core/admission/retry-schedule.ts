/**
 * Assigns retry times to refused callers. Each caller gets its own slot, at the time when capacity is expected for
 * it in addition to the callers scheduled before, so that callers refused together do not return together.
 */
import type { Milliseconds, MonotonicMs } from '../common/time.js';

/** Callers with the same slot are spread at random over this additional fraction of their wait. */
const RETRY_SPREAD = 0.5;

/** The input of a retry time. */
export interface RetryScheduleInput {
  readonly nowMs: MonotonicMs;
  /** Time until capacity is expected for the request if no other requests arrive. */
  readonly roomInMs: Milliseconds;
  /** The time that this daemon's share of the servers needs for one such request: the distance between slots. */
  readonly spacingMs: Milliseconds;
  /** Time until the caller stops waiting; a later retry is of no use to it. */
  readonly maxMs: Milliseconds;
  /** A random number from 0 to 1. */
  readonly entropy: number;
}

/** The retry times assigned to callers of one lane. */
export class RetrySchedule {
  #scheduledUntilMs: MonotonicMs = 0;

  /** Takes the next free slot and returns the time to wait until then, to be reported to the caller. */
  scheduleRetryMs({
    nowMs,
    roomInMs,
    spacingMs,
    maxMs,
    entropy,
  }: RetryScheduleInput): Milliseconds {
    const earliestMs = nowMs + Math.max(0, roomInMs);
    const isBeforeTimeout = this.#scheduledUntilMs <= nowMs + maxMs;
    // A schedule that extends beyond the caller's time limit starts over, so that callers stay spread over that time.
    const slotAtMs = isBeforeTimeout ? Math.max(earliestMs, this.#scheduledUntilMs) : earliestMs;
    this.#scheduledUntilMs = slotAtMs + Math.max(0, spacingMs);
    const spreadMs = RETRY_SPREAD * entropy * (slotAtMs - nowMs + spacingMs);
    return slotAtMs - nowMs + spreadMs;
  }
}
