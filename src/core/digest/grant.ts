/**
 * Relates another daemon's clock to the own one without either being set, so that a relayed report
 * gives a dispatch grant (`grantEnd`).
 *
 * The watcher tells, by its own clock: it had my message (sent at `echo.sentAt` by my clock)
 * `echo.ageMs` ago, and asked the engine `reportAgeMs` ago. My message was sent before it came, so
 * the report was asked for no earlier than `echo.sentAt + (echo.ageMs - reportAgeMs)` by my clock:
 * the delay of my message only makes the bound earlier, which is the safe side.
 */
import type { Milliseconds, MonotonicMs } from '../common/time.js';
import type { Echo } from '../peer/index.js';
import { GRANT_DRIFT_MARGIN } from '../registry/grant.js';

/** When a report was asked for at the earliest, by the receiver's clock. */
export function earliestPollTime(echo: Echo, reportAgeMs: Milliseconds): MonotonicMs {
  const span = echo.ageMs - reportAgeMs;
  return echo.sentAt + span - GRANT_DRIFT_MARGIN * Math.abs(span);
}
