/** Polls for a condition that is not signalled by an event. */
import { setTimeout as wait } from 'node:timers/promises';
import type { Milliseconds } from '../../core/common/time.js';

const POLL_INTERVAL_MS: Milliseconds = 50;

/** What to wait for, and how long. */
export interface UntilOptions {
  /** The condition, for the error message. */
  readonly what: string;
  readonly timeoutMs: Milliseconds;
  readonly signal: AbortSignal;
}

/** Polls until the result is not null; rejects on a time-out or an abort. A failed poll is retried. */
export async function pollUntil<T>(
  poll: () => Promise<T | null>,
  { what, timeoutMs, signal }: UntilOptions,
): Promise<T> {
  const deadline = performance.now() + timeoutMs;
  for (;;) {
    const result = await poll().catch(() => null);
    if (result !== null) return result;
    if (signal.aborted) throw new Error(`aborted while waiting for ${what}`);
    if (performance.now() > deadline)
      throw new Error(`timed out after ${timeoutMs} ms waiting for ${what}`);
    await wait(POLL_INTERVAL_MS);
  }
}
