/** Guards against servers that are taken for silent although they only work slowly. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ServerHealth } from '../../src/core/gateway/index.js';

const OVERDUE_MS = 400;
const EXPECTED_MS = 300;

test('a server that has sent nothing since an overdue call is skipped, longer each time', () => {
  const health = new ServerHealth();
  const first = health.open(0);
  health.close(first);
  assert.equal(health.recordGivenUp(first, OVERDUE_MS), true);
  assert.equal(health.isSuspect(OVERDUE_MS + 399), true);
  assert.equal(health.isSuspect(OVERDUE_MS + 401), false);
  const second = health.open(1_000);
  health.close(second);
  assert.equal(health.recordGivenUp(second, 1_000 + OVERDUE_MS), true);
  assert.equal(health.isSuspect(1_000 + OVERDUE_MS + 799), true);
});

test('a call that is given up before its answer is overdue tells nothing', () => {
  const health = new ServerHealth();
  const call = health.open(0, EXPECTED_MS);
  assert.equal(health.recordGivenUp(call, OVERDUE_MS + EXPECTED_MS - 1), false);
  assert.equal(health.isEjected(OVERDUE_MS + EXPECTED_MS), false);
});

test('a slow server that answers other calls meanwhile is not skipped', () => {
  const health = new ServerHealth();
  const call = health.open(0);
  health.recordHeard(10);
  assert.equal(health.recordGivenUp(call, 2_000), false);
  assert.equal(health.isEjected(2_000), false);
});

test('calls that are given up together count once', () => {
  const health = new ServerHealth();
  const calls = [health.open(0), health.open(0)];
  const results = calls.map((call) => health.recordGivenUp(call, OVERDUE_MS));
  assert.deepEqual(results, [true, false]);
});
