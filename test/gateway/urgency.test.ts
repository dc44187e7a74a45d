/** What can be in time goes first; what cannot goes after all others and makes nothing else late. */
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

test('in time goes before late whatever the rank, and by rank within each', () => {
  assert.ok(priority(2, 'in-time', 0.5) < priority(0, 'late', 0.5));
  assert.ok(priority(0, 'in-time', 0.5) < priority(1, 'in-time', 0.5));
  assert.ok(priority(0, 'late', 0.5) < priority(1, 'late', 0.5));
  assert.equal(priority(40, 'late', 2), 9);
});

test('a prompt that is read in no time goes before long ones of a more urgent rank', () => {
  assert.ok(priority(3, 'in-time', 0.02) < priority(0, 'in-time', 0.5));
});

test('a late prompt is no wait for one that can be in time', () => {
  const load = new EngineLoad();
  load.begin(read('late', 900, 100), 0);
  load.begin(read('in-time', 40), 0);
  assert.equal(load.pendingMs('in-time', 0), 40);
  assert.equal(load.pendingMs('late', 0), 900);
});

test('a late prompt that has begun is read to its end, and is a wait for all', () => {
  const load = new EngineLoad();
  load.begin(read('late', 900, 100), 0);
  assert.equal(load.pendingMs('in-time', 300), 700);
  assert.equal(load.pendingMs('late', 300), 0);
});

test('a prompt that waits is not worked at: all of it is left until its wait is over', () => {
  const load = new EngineLoad();
  load.begin(read('in-time', 40, 100), 0);
  assert.equal(load.pendingMs('in-time', 90), 40);
  assert.equal(load.pendingMs('in-time', 120), 20);
});

test('other daemons’ late prompts wait until their prompts in time are done', () => {
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

test('a late read says nothing on the work of others', () => {
  const load = new EngineLoad();
  load.finish(load.begin(read('late', 10), 0), 2_000);
  assert.equal(load.excessMs(2_000), 0);
});

test('forecasts that come out longer are scaled up, and the scale fades when nothing is seen', () => {
  const scale = new ForecastScale();
  for (let sample = 0; sample < 60; sample += 1) scale.add(100, 250, sample);
  assert.ok(Math.abs(scale.factor(60) - 2.5) < 0.1);
  assert.ok(Math.abs(scale.factor(20_000) - 1) < 0.01);
});
