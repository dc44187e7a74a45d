/** How long a request may wait for a permit, and when it stops waiting. */
import { MAX_HOLD_SHARE, UNKNOWN_DURATION } from '../../core/gateway/index.js';
import type { Exchange } from './exchange.js';
import type { PermitWaitRequest } from './limit-coordinator.js';
import { isCutByStop } from './stop-check.js';

/** The longest that a broken stream is held for its next engine: callers time out after a pause of two seconds. */
const MAX_RESUME_WAIT_MS = 1_000;

/** The permit wait of a request; one that no server has received may wait as long as any held request. */
export function permitWaitRequestOf(exchange: Exchange): PermitWaitRequest {
  const { service, rank, arrivedAtMs, description, route } = exchange.options;
  const maxWaitMs = exchange.mayHaveRun
    ? Math.min(exchange.remainingMs(), MAX_RESUME_WAIT_MS)
    : MAX_HOLD_SHARE * route.targetLatencyMs - exchange.elapsedMs();
  const { attemptId } = description;
  return {
    service,
    rank,
    attemptId,
    arrivedAtMs,
    maxWaitMs,
    signal: exchange.signal,
    progress: exchange.progress,
    // No estimate includes the rest of the wait, so only the deadline is a bound.
    isCutByStop: () => isCutByStop(exchange, () => UNKNOWN_DURATION),
  };
}
