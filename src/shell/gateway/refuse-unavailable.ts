/** The refusal of a request that no server takes, with the time after which its caller may try again. */
import type { ResumptionRejection } from '../../core/gateway/index.js';
import type { AttemptContext } from './attempt.js';
import type { Exchange } from './exchange.js';

/** Maximum random addition to `Retry-After`, as a share of it. */
const RETRY_JITTER = 0.5;

/** A caller whose daemon is out of touch does better at another one, at once. */
const OTHER_DAEMON_RETRY_AFTER_MS = 50;

/** Refuses to take up a stream whose origin is not known or is gone. */
export function refuseResumption(exchange: Exchange, reason: ResumptionRejection): void {
  switch (reason) {
    case 'too few daemons answer to know its software version':
      exchange.refuse(`the stream cannot go on here: ${reason}`, OTHER_DAEMON_RETRY_AFTER_MS);
      return;
    case 'its software version is not known':
    case 'its route leads to its service no more':
      exchange.refuse(
        `the stream cannot go on: ${reason}`,
        withJitter(exchange.options.route.targetLatencyMs),
      );
  }
}

/** Refuses a request that no server takes; logs how many servers are leaving, backing off or at their limit. */
export function refuseUnavailable(
  exchange: Exchange,
  context: AttemptContext,
  reason: string,
): void {
  const { service, timers } = exchange.options;
  const nowMs = timers.nowMs();
  const { leaving, resting } = context.fleet.unavailableOf(service, nowMs);
  const atLimit = context.fleet.serversAtLimit(service, nowMs).length;
  exchange.refuse(reason, retryAfterMs(exchange, context), { leaving, resting, atLimit });
}

/** `Retry-After` of a refusal: the time until a server that is skipped now is expected to be tried again. */
function retryAfterMs(exchange: Exchange, { fleet }: AttemptContext): number {
  const { service, route, timers } = exchange.options;
  const expectedMs = fleet.capacityExpectedInMs(service, timers.nowMs());
  const waitMs = expectedMs ?? route.targetLatencyMs;
  return withJitter(waitMs);
}

/** Keeps callers that were refused at the same time from retrying at the same time. */
function withJitter(waitMs: number): number {
  return waitMs * (1 + RETRY_JITTER * Math.random());
}
