/** Refusals before a request is sent anywhere. */
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

test('what is expected after its caller has given up is refused, with the time until there is room', () => {
  assert.deepEqual(refusalOnArrival(input('late', 2_500)), { retryAfterMs: 2_300 });
});

test('what is late and can still be answered is sent', () => {
  assert.equal(refusalOnArrival(input('late', 2_000)), undefined);
});

test('a request that may have run is not refused, nor one by paces that nobody has seen', () => {
  assert.equal(refusalOnArrival(input('late', 2_500, { mayHaveRun: true })), undefined);
  assert.equal(refusalOnArrival(input('late', 2_500, { isLearnt: false })), undefined);
});

test('nothing that can be in time is refused, whatever the forecast', () => {
  const spans = fc.nat(60_000);
  fc.assert(
    fc.property(spans, spans, (expectedMs, remainingMs) => {
      assert.equal(refusalOnArrival(input('in-time', expectedMs, { remainingMs })), undefined);
    }),
    { seed: 6, numRuns: 100 },
  );
});
