/** The refusals of admission, each with the time after which a retry would be taken. */
import type { Milliseconds } from '../common/time.js';
import { type Fault, refusedNotRun } from '../errors/fault.js';
import type { WaitEstimate } from './expected-wait.js';

/** The shortest and longest retry times told to a caller. */
const MIN_RETRY_MS: Milliseconds = 250;
const MAX_RETRY_MS: Milliseconds = 600_000;
/** What is added to an expected wait for the error of its measurement. */
const WAIT_ERROR_SHARE = 0.1;
/** The retry time where the queue's speed is not known. */
const UNKNOWN_SPEED_RETRY_MS: Milliseconds = 1_000;

/** What is known of a request at the door. */
export interface ShedInput {
  readonly estimate: WaitEstimate;
  /** Time left until the request's deadline. */
  readonly slackMs: Milliseconds;
  readonly queueFull: boolean;
  readonly tenantOverShare: boolean;
}

/** The refusal for a request that is not to be taken, or null. */
export function shedFault(input: ShedInput): Fault | null {
  const { estimate, slackMs } = input;
  const waitMs = estimate.waitMs;
  if (slackMs <= 0) {
    return deadlineFault(estimate);
  }
  const tooLate = waitMs !== null && waitMs > slackMs;
  if (!tooLate && !input.queueFull && !input.tenantOverShare) {
    return null;
  }
  const retryAfterMs = retryTime(waitMs, tooLate ? slackMs : 0);
  const freshWaitMs = estimate.idleTenantWaitMs;
  const othersFit = freshWaitMs !== null && freshWaitMs <= slackMs;
  if (input.tenantOverShare || (tooLate && !input.queueFull && othersFit)) {
    return refusedNotRun(
      'tenant-over-share',
      `Your earlier requests already fill your share of the fleet. Retry in ${seconds(retryAfterMs)} s, or ask the operator for a larger weight.`,
      { retryAfterMs },
    );
  }
  return refusedNotRun(
    'overloaded',
    `More work waits than can start before this request's deadline. Retry in ${seconds(retryAfterMs)} s, or state a later deadline.`,
    { retryAfterMs },
  );
}

/** The refusal for a request whose deadline has passed while it waited. */
export function deadlineFault(estimate: WaitEstimate | null): Fault {
  const retryAfterMs = retryTime(estimate?.waitMs ?? null, 0);
  return refusedNotRun(
    'deadline-passed',
    `The request's deadline passed before a backend was free for it. Retry in ${seconds(retryAfterMs)} s, or state a later deadline.`,
    { retryAfterMs },
  );
}

/** The time until the queue has shrunk so far that the wait fits into the slack. */
function retryTime(waitMs: Milliseconds | null, slackMs: Milliseconds): Milliseconds {
  if (waitMs === null) {
    return UNKNOWN_SPEED_RETRY_MS;
  }
  const untilItFits = Math.ceil(waitMs * (1 + WAIT_ERROR_SHARE) - slackMs);
  return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, untilItFits));
}

function seconds(milliseconds: Milliseconds): number {
  return Math.ceil(milliseconds / 1000);
}
