/**
 * Dispatch grants: how long a daemon may send new requests to an engine on the basis of one report.
 * A partitioned daemon stops when its grant ends. A controller can therefore close an engine's
 * intake by waiting until all grants have lapsed, without a confirmation from every daemon.
 *
 * Why this is safe: a report with an `open` intake was made before the engine accepted the order to
 * close, and so was requested before the acknowledgement of that order arrived. Its grant ends
 * within `GRANT_MS` of the request. `GRANT_LAPSE_MS` after the acknowledgement no grant is left,
 * provided that clocks drift by less than the margin. See docs/decisions/drain-barrier.md.
 */
import type { Milliseconds, MonotonicMs } from '../common/time.js';
import type { EngineView } from './backend.js';

/** How long after requesting a report a daemon may send new requests, before the margin. */
export const GRANT_MS: Milliseconds = 2_000;

/** The largest relative drift between two monotonic clocks that the drain barrier tolerates. */
export const GRANT_DRIFT_MARGIN = 0.05;

/** Covers timer granularity between a check and the action that follows it. */
const TIMER_SLACK_MS: Milliseconds = 100;

/** Subtracted from each grant and added to the wait for its lapse. */
const GRANT_MARGIN_MS: Milliseconds = GRANT_MS * GRANT_DRIFT_MARGIN + TIMER_SLACK_MS;

/** How long after an acknowledged intake closing no daemon has a grant any more. */
export const GRANT_LAPSE_MS: Milliseconds = GRANT_MS + GRANT_MARGIN_MS;

/** When the grant of a report ends. `requestedAt` is a time before the report was requested. */
export function grantEnd(requestedAt: MonotonicMs): MonotonicMs {
  return requestedAt + GRANT_MS - GRANT_MARGIN_MS;
}

/** Whether a daemon may send a new request to an engine now. */
export function mayDispatch(view: EngineView, now: MonotonicMs): boolean {
  const report = view.report;
  if (report === null) return false;
  if (now >= view.grantedUntil) return false;
  if (view.machine.state === 'leaving' || report.leaving) return false;
  return report.intake === 'open' && !report.busy;
}
