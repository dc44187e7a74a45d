/** Refusal of requests on arrival, before they are sent to any server. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { type ArrivalInput, refusalOnArrival, type Urgency } from '../../src/core/gateway/index.js';

function input(
  urgency: Urgency,
  expectedMs: number,
  fields: Partial<ArrivalInput> = {},
): ArrivalInput {
  return {
    plan: { expectedMs, read: { urgency, readMs: 30, waitMs: expectedMs - 30 } },
    remainingMs: 2_000,
    latencyBudgetMs: 200,
    isLearnt: true,
    mayHaveRun: false,
    ...fields,
  };
}

test('a request whose answer is expected after its deadline is refused with the time until there is capacity', () => {
  assert.deepEqual(refusalOnArrival(input('late', 2_500)), { retryAfterMs: 2_300 });
});

test('a request that is late but can be answered before its deadline is sent', () => {
  assert.equal(refusalOnArrival(input('late', 2_000)), undefined);
});

test('a request that may have run, or whose forecast is not learnt from observed paces, is not refused', () => {
  assert.equal(refusalOnArrival(input('late', 2_500, { mayHaveRun: true })), undefined);
  assert.equal(refusalOnArrival(input('late', 2_500, { isLearnt: false })), undefined);
});

test('a request that can be in time is never refused, whatever the forecast', () => {
  const spans = fc.nat(60_000);
  fc.assert(
    fc.property(spans, spans, (expectedMs, remainingMs) => {
      assert.equal(refusalOnArrival(input('in-time', expectedMs, { remainingMs })), undefined);
    }),
    { seed: 6, numRuns: 100 },
  );
});
