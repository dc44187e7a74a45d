/**
 * The check of a request before each of its sends while this daemon stops. What may outlast the stop is refused, so that
 * another daemon takes it. A request that may have run, or whose answer has begun, is not checked: it goes on.
 */
import { type DurationEstimate, endsBeforeCut } from '../../core/gateway/index.js';
import type { Exchange } from './exchange.js';
import { CUT_BY_STOP_REASON, STOPPING_RETRY_AFTER_MS } from './refuse-unavailable.js';

/** Whether a request that no server has run may be cut off by the stop of this daemon if it is sent now. */
export function isCutByStop(exchange: Exchange, estimate: () => DurationEstimate): boolean {
  return estimateIfCut(exchange, estimate) !== undefined;
}

/** Refuses a request that no server has run, if the stop of this daemon may cut it off. @returns whether it was refused */
export function refuseIfCutByStop(exchange: Exchange, estimate: () => DurationEstimate): boolean {
  const estimated = estimateIfCut(exchange, estimate);
  const stop = exchange.options.stop();
  if (estimated === undefined || stop === undefined) return false;
  exchange.refuse(CUT_BY_STOP_REASON, STOPPING_RETRY_AFTER_MS, {
    cutInMs: Math.round(stop.cutAtMs - exchange.options.timers.nowMs()),
    deadlineInMs: Math.round(exchange.remainingMs()),
    estimateMs: estimated.kind === 'unknown' ? null : Math.round(estimated.longMs),
    isLearnt: estimated.kind === 'learnt',
  });
  return true;
}

/** The estimate of a request that may be cut off; undefined for one that is not. */
function estimateIfCut(
  exchange: Exchange,
  estimate: () => DurationEstimate,
): DurationEstimate | undefined {
  const stop = exchange.options.stop();
  if (stop === undefined || exchange.mayHaveRun || exchange.isAnswered) return undefined;
  // Its caller has gone or its time is over, which ends it in another way.
  if (exchange.signal.aborted) return undefined;
  const estimated = estimate();
  const nowMs = exchange.options.timers.nowMs();
  const { deadlineAtMs } = exchange;
  const isInTime = endsBeforeCut({ stop, nowMs, deadlineAtMs, estimate: estimated });
  return isInTime ? undefined : estimated;
}
