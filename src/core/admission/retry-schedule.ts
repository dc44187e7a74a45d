/**
 * When refused callers may come back: one after the other, each when there is expected to be room for it
 * beside those that were told before, so that those refused together do not return together.
 */
import type { Milliseconds, MonotonicMs } from '../common/time.js';

/** Callers that were told the same moment come back over this part of their wait more. */
const RETRY_SPREAD = 0.5;

/** What a time to come back is made from. */
export interface RetryScheduleInput {
  readonly nowMs: MonotonicMs;
  /** Until there would be room for it, if nothing else came. */
  readonly roomInMs: Milliseconds;
  /** What this daemon's part of the servers takes for one like it. */
  readonly spacingMs: Milliseconds;
  /** Until its caller gives up: a later time is of no use to it. */
  readonly maxMs: Milliseconds;
  /** 0 to 1. */
  readonly entropy: number;
}

/** The times that were told to callers of one kind. */
export class RetrySchedule {
  #promisedUntilMs: MonotonicMs = 0;

  /** How long the caller is told to wait. */
  scheduleRetryMs({
    nowMs,
    roomInMs,
    spacingMs,
    maxMs,
    entropy,
  }: RetryScheduleInput): Milliseconds {
    const firstAtMs = nowMs + Math.max(0, roomInMs);
    const isUseful = this.#promisedUntilMs <= nowMs + maxMs;
    // Where the line is longer than callers wait it begins anew: they come back spread over that time.
    const roomAtMs = isUseful ? Math.max(firstAtMs, this.#promisedUntilMs) : firstAtMs;
    this.#promisedUntilMs = roomAtMs + Math.max(0, spacingMs);
    const spreadMs = RETRY_SPREAD * entropy * (roomAtMs - nowMs + spacingMs);
    return roomAtMs - nowMs + spreadMs;
  }
}
