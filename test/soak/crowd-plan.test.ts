/** The plan of crowds has each kind of crowd over some seeds, beside endless answers and ends of processes, and calm at its end. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CROWD_KINDS } from '../../soak/crowd-fault.js';
import { planCrowds } from '../../soak/crowd-plan.js';
import type { Fault, TimedFault } from '../../soak/plan.js';

const SIZE = { seconds: 60, daemons: 9, engines: 8, webServers: 4, requestsPerSecond: 90 };
const CALM_FROM_MS = 52_000;
const SEEDS = Array.from({ length: 12 }, (_, seed) => seed);
const PLANS = SEEDS.map((seed) => planCrowds(seed, SIZE));

function faultsOf(kind: Fault['kind']): readonly TimedFault[] {
  return PLANS.flatMap(({ faults }) => faults).filter(({ fault }) => fault.kind === kind);
}

test('a seed of the plan of crowds always gives the same plan, and another seed a different one', () => {
  assert.deepEqual(planCrowds(7, SIZE), planCrowds(7, SIZE));
  assert.notDeepEqual(planCrowds(7, SIZE).faults, planCrowds(8, SIZE).faults);
});

test('twelve seeds have each kind of crowd, of callers that come back and of others, all gone by the calm end', () => {
  const crowds = faultsOf('crowd');
  const kinds = crowds.flatMap(({ fault }) => (fault.kind === 'crowd' ? [fault.crowd] : []));
  assert.deepEqual(new Set(kinds), new Set(CROWD_KINDS));
  const comeBack = crowds.map(({ fault }) => fault.kind === 'crowd' && fault.comeBack);
  assert.deepEqual(new Set(comeBack), new Set([true, false]));
  for (const { atMs, fault } of crowds) {
    assert.ok(fault.kind === 'crowd' && atMs + fault.forMs <= CALM_FROM_MS);
  }
});

test('servers whose answers do not end, kills, stops and reloads come beside crowds', () => {
  const endless = faultsOf('servers');
  assert.ok(endless.length > 0);
  for (const { atMs, fault } of endless) {
    assert.ok(fault.kind === 'servers' && fault.how === 'answer-without-end');
    assert.ok(atMs + fault.forMs <= CALM_FROM_MS);
  }
  for (const kind of ['kill', 'stop', 'reload'] as const) {
    const faults = faultsOf(kind);
    assert.ok(faults.length > 0, kind);
    for (const { atMs } of faults) assert.ok(atMs <= CALM_FROM_MS, kind);
  }
});
