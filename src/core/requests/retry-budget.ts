/**
 * A retry budget as a token bucket: each arriving request adds a fraction of a token and each retry
 * takes one token. This limits retries to a share of traffic when many requests fail at once.
 */

/** Tokens that each arriving request adds: the long-run number of retries per request. */
const RETRIES_PER_REQUEST = 0.1;
/** Capacity of the bucket: the maximum number of retries in a burst. */
const MAX_SAVED_RETRIES = 50;

/** The state of the bucket. Immutable. */
export interface RetryBudget {
  readonly tokens: number;
}

/** The bucket at start; not empty, so that a small fleet can retry from the first request on. */
export const INITIAL_RETRY_BUDGET: RetryBudget = { tokens: 10 };

/** Credits one arriving request. */
export function creditRequest(budget: RetryBudget): RetryBudget {
  return { tokens: Math.min(MAX_SAVED_RETRIES, budget.tokens + RETRIES_PER_REQUEST) };
}

/** Whether the budget allows a retry. */
export function mayRetry(budget: RetryBudget): boolean {
  return budget.tokens >= 1;
}

/** Charges one retry. */
export function spendRetry(budget: RetryBudget): RetryBudget {
  return { tokens: Math.max(0, budget.tokens - 1) };
}
