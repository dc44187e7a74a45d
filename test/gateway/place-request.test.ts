/** Which requests are sent, held or refused by their forecasts. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  EngineLoad,
  type EnginePlan,
  type PlaceInput,
  placeRequest,
  planAtRank,
  RankShares,
  refusalOnArrival,
  UrgentSlack,
} from '../../src/core/gateway/index.js';
import { RECORDED_FORECASTS } from './support/recorded-forecasts.js';

const READ_MS = 90;

/** A request that has just arrived, with a latency budget of 450 ms. */
function input(queueMs: number, fields: Partial<PlaceInput> = {}): PlaceInput {
  const expectedMs = queueMs + READ_MS;
  const urgency = expectedMs <= 450 ? 'in-time' : 'late';
  return {
    plan: { expectedMs, read: { urgency, readMs: READ_MS, waitMs: queueMs } },
    remainingMs: 5_000,
    latencyBudgetMs: 450,
    latencyBudgetLeftMs: 450,
    urgentSlackMs: Number.POSITIVE_INFINITY,
    isContended: false,
    isLearnt: true,
    mayHaveRun: false,
    ...fields,
  };
}

test('a request that can be in time is sent, with the time for which it could be held', () => {
  assert.deepEqual(placeRequest(input(100)), { kind: 'go', slackMs: 90 });
});

test('a request is held while the queue exceeds the share of its slack allowed for queues', () => {
  const placement = placeRequest(input(200));
  assert.deepEqual(placement, { kind: 'wait', slackMs: 90, roomInMs: 92 });
});

test('a request is held while the queue would make more urgent requests late', () => {
  const placement = placeRequest(input(100, { urgentSlackMs: 240 }));
  assert.deepEqual(placement, { kind: 'wait', slackMs: 90, roomInMs: 28 });
});

test('a request that was held may join a longer queue, and its remaining hold time is shorter', () => {
  const placement = placeRequest(input(200, { latencyBudgetLeftMs: 414 }));
  assert.ok(placement.kind === 'wait');
  assert.equal(placement.slackMs, 54);
  assert.ok(Math.abs(placement.roomInMs - 56) < 0.01);
});

test('a request that is late because of the queue is refused, with the time until the queue is short enough', () => {
  const placement = placeRequest(input(600));
  assert.deepEqual(placement, { kind: 'refuse', reason: 'overloaded', roomInMs: 240 });
  const hopeless = placeRequest(input(600, { remainingMs: 650 }));
  assert.deepEqual(hopeless, { kind: 'refuse', reason: 'hopeless', roomInMs: 240 });
});

test('a request that is late by its own read time is sent to an idle engine, but not while others are held', () => {
  const late = { plan: { expectedMs: 500, read: { urgency: 'late', readMs: 500, waitMs: 0 } } };
  const alone = input(0, late as Partial<PlaceInput>);
  assert.deepEqual(placeRequest(alone), { kind: 'go', slackMs: undefined });
  assert.equal(placeRequest({ ...alone, isContended: true }).kind, 'refuse');
});

test('a request that is late because of earlier attempts is sent to an idle engine, but not into a long queue', () => {
  const tried = { latencyBudgetLeftMs: -100 };
  const plan = (waitMs: number) =>
    ({ expectedMs: 90 + waitMs, read: { urgency: 'late', readMs: 90, waitMs } }) as const;
  assert.equal(placeRequest(input(0, { ...tried, plan: plan(0) })).kind, 'go');
  assert.equal(placeRequest(input(0, { ...tried, plan: plan(300) })).kind, 'refuse');
});

test('a request that can not be held any longer overtakes held ones if the queue is short enough', () => {
  const placement = placeRequest(input(100, { latencyBudgetLeftMs: 300, isContended: true }));
  assert.deepEqual(placement, { kind: 'go', slackMs: undefined });
});

test('a request is sent whatever its forecast if it may have run, or if no engine times have been observed', () => {
  for (const fields of [{ mayHaveRun: true }, { isLearnt: false }]) {
    assert.deepEqual(placeRequest(input(60_000, fields)), { kind: 'go', slackMs: undefined });
  }
});

test('while queues are short enough for all ranks, every request is sent and none held or refused', () => {
  const urgent = 300;
  const slacks = new UrgentSlack();
  slacks.recordRequest(0, urgent, 0);
  const ranks = fc.nat(5);
  fc.assert(
    fc.property(ranks, fc.nat(0.3 * urgent), (rank, queueMs) => {
      const placed = input(queueMs, { urgentSlackMs: slacks.minSlackMs(rank, 1) });
      assert.equal(placeRequest(placed).kind, 'go');
      assert.equal(refusalOnArrival(placed), undefined);
    }),
    { seed: 6, numRuns: 200 },
  );
});

test('recorded requests at an underloaded fleet are all sent, including those late by their own read time', () => {
  const slacks = new UrgentSlack();
  for (const [index, recorded] of RECORDED_FORECASTS.entries()) {
    const { rank, targetMs, queueMs, expectedMs } = recorded;
    const latencyBudgetMs = 0.9 * targetMs;
    const nowMs = 50 * index;
    slacks.recordRequest(rank, latencyBudgetMs - (expectedMs - queueMs), nowMs);
    const urgency = expectedMs <= latencyBudgetMs ? 'in-time' : 'late';
    const placed = input(queueMs, {
      plan: { expectedMs, read: { urgency, readMs: expectedMs - queueMs, waitMs: queueMs } },
      latencyBudgetMs,
      latencyBudgetLeftMs: latencyBudgetMs,
      urgentSlackMs: slacks.minSlackMs(rank, nowMs),
    });
    assert.equal(placeRequest(placed).kind, 'go', JSON.stringify(recorded));
    assert.equal(refusalOnArrival(placed), undefined);
  }
});

test('the slack of a rank limits the less urgent ranks until its requests stop coming', () => {
  const slacks = new UrgentSlack();
  slacks.recordRequest(1, 400, 0);
  assert.equal(slacks.minSlackMs(2, 5_000), 400);
  assert.equal(slacks.minSlackMs(1, 5_000), Number.POSITIVE_INFINITY);
  assert.equal(slacks.minSlackMs(2, 11_000), Number.POSITIVE_INFINITY);
});

test('an urgent rank that is late without any wait does not limit others', () => {
  const slacks = new UrgentSlack();
  slacks.recordRequest(0, -50, 0);
  assert.equal(slacks.minSlackMs(2, 1), Number.POSITIVE_INFINITY);
});

test('the wait factor of a rank covers queued work that is read first and more urgent work that arrives meanwhile', () => {
  const shares = new RankShares();
  assert.equal(shares.waitFactor(0), 1);
  for (let count = 0; count < 100; count += 1) {
    shares.recordRequest(0, 100, 0);
    shares.recordRequest(1, 100, 0);
  }
  assert.ok(Math.abs(shares.waitFactor(0) - 0.5) < 0.02);
  assert.ok(Math.abs(shares.waitFactor(1) - 2) < 0.05);
});

test('a plan adapted to a rank keeps its engine, and its urgency follows from the changed wait', () => {
  const read = { urgency: 'late', readMs: 60, waitMs: 400 } as const;
  const plan = { kind: 'direct', expectedMs: 490, read } as EnginePlan;
  const urgent = planAtRank(plan, 0.25, 200);
  assert.deepEqual(urgent.read, { urgency: 'in-time', readMs: 60, waitMs: 100 });
  assert.equal(urgent.expectedMs, 190);
  assert.equal(planAtRank(plan, 2, 800).read.urgency, 'late');
  assert.deepEqual(planAtRank(plan, 1, 200), plan);
});

test('an overdue read counts with its full time if countsOverdue is set', () => {
  for (const [countsOverdue, leftMs] of [
    [true, 40],
    [false, 10],
  ] as const) {
    const load = new EngineLoad(countsOverdue);
    load.begin({ urgency: 'in-time', readMs: 40, waitMs: 100 }, 0);
    assert.equal(load.pendingMs('in-time', 130), 10);
    assert.equal(load.pendingMs('in-time', 141), leftMs);
  }
});
