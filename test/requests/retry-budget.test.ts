/**
 * Retries stay a share of the traffic however many daemons start together: what a life begins with is multiplied by
 * the lives that begin in a moment (340 daemons that began with ten retries each had 3,400 that nobody had earned).
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  creditRequest,
  INITIAL_RETRY_BUDGET,
  mayRetry,
  type RetryBudget,
  spendRetry,
} from '../../src/core/requests/retry-budget.js';

/** How many retries a bucket gives when all that come want one. */
function spendAll(budget: RetryBudget): number {
  let retries = 0;
  for (let left = budget; mayRetry(left); left = spendRetry(left)) retries += 1;
  return retries;
}

test('a life begins with one retry and no more', () => {
  assert.equal(spendAll(INITIAL_RETRY_BUDGET), 1);
});

test('ten requests earn one retry, and a quiet spell saves up fifty at most', () => {
  const afterRequests = (requests: number) => {
    let budget = INITIAL_RETRY_BUDGET;
    for (let request = 0; request < requests; request += 1) budget = creditRequest(budget);
    return budget;
  };
  assert.equal(spendAll(afterRequests(10)), 2);
  assert.equal(spendAll(afterRequests(100_000)), 50);
});
