/**
 * Relates the clock of a watcher to the clock of the receiver of its digest without synchronizing
 * them, so that a relayed report gives a dispatch grant (`grantEnd`).
 *
 * The watcher states two ages by its own clock: it received the receiver's message (sent at
 * `echo.sentAt` by the receiver's clock) `echo.ageMs` ago, and it polled the engine `reportAgeMs`
 * ago. The message was sent before it arrived, so by the receiver's clock the engine was polled no
 * earlier than `echo.sentAt + (echo.ageMs - reportAgeMs)`. The delay of the message only makes this
 * bound earlier, which shortens the grant: the safe side.
 */
import type { Milliseconds, MonotonicMs } from '../common/time.js';
import type { Echo } from '../peer/index.js';
import { GRANT_DRIFT_MARGIN } from '../registry/grant.js';

/** The earliest time at which the engine can have been polled, by the receiver's clock. */
export function earliestPollTime(echo: Echo, reportAgeMs: Milliseconds): MonotonicMs {
  const span = echo.ageMs - reportAgeMs;
  return echo.sentAt + span - GRANT_DRIFT_MARGIN * Math.abs(span);
}
