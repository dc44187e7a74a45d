/** Prompts that can meet their target go first; late ones go after all others and make none of them late. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  EngineLoad,
  ForecastScale,
  PeerLoads,
  promptPriority,
  type Urgency,
} from '../../src/core/gateway/index.js';

const read = (urgency: Urgency, readMs: number, waitMs = 0) => ({ urgency, readMs, waitMs });

function priority(rank: number, urgency: Urgency, readShareOfTarget: number): number {
  return promptPriority({ rank, urgency, readShareOfTarget });
}

test('prompts in time get a better priority than late ones of any rank, and by rank within each group', () => {
  assert.ok(priority(2, 'in-time', 0.5) < priority(0, 'late', 0.5));
  assert.ok(priority(0, 'in-time', 0.5) < priority(1, 'in-time', 0.5));
  assert.ok(priority(0, 'late', 0.5) < priority(1, 'late', 0.5));
  assert.equal(priority(40, 'late', 2), 9);
});

test('a prompt with a very short read gets a better priority than long ones of a more urgent rank', () => {
  assert.ok(priority(3, 'in-time', 0.02) < priority(0, 'in-time', 0.5));
});

test('a queued late prompt adds no wait for prompts in time', () => {
  const load = new EngineLoad();
  load.begin(read('late', 900, 100), 0);
  load.begin(read('in-time', 40), 0);
  assert.equal(load.pendingMs('in-time', 0), 40);
  assert.equal(load.pendingMs('late', 0), 900);
});

test('a late prompt whose read has started adds its remaining time to the wait of all prompts', () => {
  const load = new EngineLoad();
  load.begin(read('late', 900, 100), 0);
  assert.equal(load.pendingMs('in-time', 300), 700);
  assert.equal(load.pendingMs('late', 300), 0);
});

test('the full read time of a prompt remains until its expected wait is over', () => {
  const load = new EngineLoad();
  load.begin(read('in-time', 40, 100), 0);
  assert.equal(load.pendingMs('in-time', 90), 40);
  assert.equal(load.pendingMs('in-time', 120), 20);
});

test('the late prompts of other daemons count as read after their prompts in time', () => {
  const loads = new PeerLoads();
  const work = [{ engineId: 'e', pendingMs: 100, lateMs: 50, running: 0 }];
  loads.applyReport(
    { daemon: 'd', incarnation: 1, sequence: 1, work, reads: [], reach: [], demand: [] },
    0,
  );
  assert.equal(loads.waitMs('e', 'in-time', 60), 40);
  assert.equal(loads.waitMs('e', 'late', 60), 90);
  assert.equal(loads.waitMs('e', 'late', 120), 30);
});

test('a late read that took longer than expected does not raise the estimate of unreported work', () => {
  const load = new EngineLoad();
  load.finish(load.begin(read('late', 10), 0), 2_000);
  assert.equal(load.excessMs(2_000), 0);
});

test('forecasts that were too short are scaled up, and the factor decays to 1 without new samples', () => {
  const scale = new ForecastScale();
  for (let sample = 0; sample < 60; sample += 1) scale.add(100, 250, sample);
  assert.ok(Math.abs(scale.factor(60) - 2.5) < 0.1);
  assert.ok(Math.abs(scale.factor(20_000) - 1) < 0.01);
});
