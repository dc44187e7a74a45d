/** Logs callers that were refused or closed at a limit, at most one line per reason and interval, with their number. */
import type { Milliseconds, MonotonicMs } from '../../core/common/time.js';
import { CALLER_HTTP_EVENTS } from '../../core/logging/catalogue/caller-http.js';
import type { LogEvent, LogFields } from '../../core/logging/log-event.js';

const MIN_LOG_INTERVAL_MS: Milliseconds = 10_000;

/** Why a request was refused, or a connection closed, before the request was run. */
export type CallerRefusal =
  /** A body made no progress for `bodyStallTimeoutMs`. */
  | 'body-stalled'
  /** A body that made no progress was given up for another one, as there was no memory for both. */
  | 'body-evicted'
  /** There was no memory for a body. */
  | 'no-room-for-body'
  /** There was no heap for another request. */
  | 'no-room-for-request'
  /** A connection was closed as it was accepted, as there were too many. */
  | 'too-many-connections';

/** Receives each refusal with the memory that was held for the caller. */
export type RefusalListener = (reason: CallerRefusal, heldBytes: number) => void;

/** Creates a listener that writes the lines. */
export function createRefusalLog(
  write: (event: LogEvent, fields: LogFields) => void,
  now: () => MonotonicMs,
): RefusalListener {
  const unlogged = new Map<CallerRefusal, { readonly count: number; readonly heldBytes: number }>();
  const loggedAt = new Map<CallerRefusal, MonotonicMs>();
  return (reason, heldBytes) => {
    const before = unlogged.get(reason) ?? { count: 0, heldBytes: 0 };
    const sum = { count: before.count + 1, heldBytes: before.heldBytes + heldBytes };
    unlogged.set(reason, sum);
    if (now() - (loggedAt.get(reason) ?? Number.NEGATIVE_INFINITY) < MIN_LOG_INTERVAL_MS) return;
    loggedAt.set(reason, now());
    unlogged.delete(reason);
    write(CALLER_HTTP_EVENTS.refusedAtLimit, { reason, ...sum });
  };
}
