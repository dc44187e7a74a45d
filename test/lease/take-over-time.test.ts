import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  DEFAULT_LEASE_DURATION_MS,
  DEFAULT_LEASE_MARGIN_MS,
  epochOf,
} from '../../src/core/lease/index.js';
import { Harness } from './support.js';

const SEEDS = 200;
const DAEMONS = ['a', 'b', 'c'];
/** An observer sees a renewal at most a poll later, then waits for the lapse, and acts at its next tick. */
const POLL_MS = DEFAULT_LEASE_DURATION_MS / 3;
const LAPSE_MS = DEFAULT_LEASE_DURATION_MS + DEFAULT_LEASE_MARGIN_MS;
const SPREAD_AND_TICK_MS = 250;

/** Kills the holder or makes it release the lease; returns the time until another daemon has authority. */
function timeWithoutController(seed: number, takeAway: 'kill' | 'release'): number {
  const harness = new Harness(DEFAULT_LEASE_DURATION_MS, DEFAULT_LEASE_MARGIN_MS, seed);
  for (const name of DAEMONS) harness.start(name);
  harness.run(10_000 + seed * 37);
  const holder = harness.holder();
  assert.ok(holder);
  const others = DAEMONS.filter((name) => name !== holder);
  if (takeAway === 'release') harness.send(holder, { kind: 'release' });
  const lostAt = harness.now;
  while (!others.some((name) => name === harness.holder())) harness.run(50, others);
  const next = harness.holder();
  assert.ok(next !== undefined && epochOf(harness.state(next)) === 2);
  return harness.now - lostAt;
}

function timesOf(takeAway: 'kill' | 'release'): number[] {
  const times = Array.from({ length: SEEDS }, (_, seed) => timeWithoutController(seed, takeAway));
  return times.sort((left, right) => left - right);
}

test('after a kill another daemon has the lease within the lapse time, a poll and a tick', (t) => {
  const times = timesOf('kill');
  t.diagnostic(`without a controller: median ${times[SEEDS / 2]} ms, most ${times.at(-1)} ms`);
  assert.ok((times.at(-1) ?? 0) <= LAPSE_MS + POLL_MS + SPREAD_AND_TICK_MS);
  assert.ok((times[0] ?? 0) >= LAPSE_MS - POLL_MS - SPREAD_AND_TICK_MS);
});

test('after a release another daemon has the lease within a poll and a tick', (t) => {
  const times = timesOf('release');
  t.diagnostic(`without a controller: median ${times[SEEDS / 2]} ms, most ${times.at(-1)} ms`);
  assert.ok((times.at(-1) ?? 0) <= POLL_MS + SPREAD_AND_TICK_MS);
});
