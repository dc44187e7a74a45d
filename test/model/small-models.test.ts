import assert from 'node:assert/strict';
import { performance } from 'node:perf_hooks';
import { test } from 'node:test';
import { claimsModel } from '../../src/lab/model/claims/index.js';
import { configurationModel } from '../../src/lab/model/configuration/index.js';
import { type Exploration, explore, type Model } from '../../src/lab/model/explorer.js';
import { leavingModel } from '../../src/lab/model/leaving/index.js';
import { stopModel } from '../../src/lab/model/stop/index.js';
import { streamsModel } from '../../src/lab/model/streams/index.js';

/** Explores a model completely; no property may be violated and all goals must be reached. */
function check<World, Step>(model: Model<World, Step>, goals: readonly string[]): Exploration {
  const limits = { maxStates: 100_000, stopAt: null };
  const result = explore(model, limits, () => performance.now() / 1_000);
  assert.deepEqual(result.violations, []);
  assert.equal(result.complete, true);
  for (const goal of goals) assert.ok(result.goals.includes(goal), `goal never reached: ${goal}`);
  return result;
}

test('a caller gets only its own answer, and all of it unless it is broken, whatever frames come', () => {
  const flaws = { repeated: 1, foreign: 1, gaps: 1, earlyEnds: 1, breaks: 2 };
  check(streamsModel('streams', flaws), ['ended whole', 'ended broken', 'resumed']);
});

test('work with an idempotency key runs once despite a kill, a late claim and a broken connection', () => {
  const goals = ['told answered', 'told unknown', 'told replayed', 'work ran'];
  check(claimsModel('claims', { kills: 1, lateTableCalls: 1, breaks: 1 }), goals);
});

test('"not run" is reported only for work that never runs', () => {
  const faults = { deadlines: 1, callersGone: 1, refusals: 1, retryBudget: 0 };
  check(claimsModel('claims', faults), ['told not run', 'told unknown']);
});

test('a leaving engine gets no new work', () => {
  check(leavingModel('leaving'), ['dispatched', 'left']);
});

test('a planned stop waits for open requests and pending outcome records', () => {
  check(stopModel('stop'), ['exited', 'all answered']);
});

test('a configuration is never reverted, despite a restart and a late table call', () => {
  check(configurationModel('configuration', { changes: 1, ticks: 1, lateTableCalls: 1 }), [
    'applied',
  ]);
});
