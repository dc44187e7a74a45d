/**
 * A retry budget as a token bucket: each arriving request adds a fraction of a token, each retry
 * takes a whole one. Retries so stay a share of traffic however many requests fail at once.
 */

/** Retries allowed for each arriving request, in the long run. */
const RETRIES_PER_REQUEST = 0.1;
/** The most retries that a quiet spell can save up. */
const MAX_SAVED_RETRIES = 50;

/** The bucket. Immutable. */
export interface RetryBudget {
  readonly tokens: number;
}

/** The bucket of a daemon that has just started; a small fleet may retry from the first request on. */
export const INITIAL_RETRY_BUDGET: RetryBudget = { tokens: 10 };

/** Credits one arriving request. */
export function creditRequest(budget: RetryBudget): RetryBudget {
  return { tokens: Math.min(MAX_SAVED_RETRIES, budget.tokens + RETRIES_PER_REQUEST) };
}

/** Whether a retry may be made. */
export function mayRetry(budget: RetryBudget): boolean {
  return budget.tokens >= 1;
}

/** Takes the cost of one retry. */
export function spendRetry(budget: RetryBudget): RetryBudget {
  return { tokens: Math.max(0, budget.tokens - 1) };
}
