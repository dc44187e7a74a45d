/** The plan of stops has each way to stop over some seeds, engines in trouble around each wave, and calm at its end. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Fault, TimedFault } from '../../soak/plan.js';
import { planStops } from '../../soak/stop-plan.js';

const SIZE = { seconds: 60, daemons: 9, engines: 8, webServers: 4, requestsPerSecond: 90 };
const CALM_FROM_MS = 52_000;
const SEEDS = Array.from({ length: 12 }, (_, seed) => seed);
const PLANS = SEEDS.map((seed) => planStops(seed, SIZE));

function faultsOf(kind: Fault['kind']): readonly TimedFault[] {
  return PLANS.flatMap(({ faults }) => faults).filter(({ fault }) => fault.kind === kind);
}

function signalsOf({ fault }: TimedFault) {
  return fault.kind === 'signals' ? fault.signals.map(({ signal }) => signal) : [];
}

test('a seed of the plan of stops always gives the same plan, and another seed a different one', () => {
  assert.deepEqual(planStops(7, SIZE), planStops(7, SIZE));
  assert.notDeepEqual(planStops(7, SIZE).faults, planStops(8, SIZE).faults);
});

test('twelve seeds have stops by one and by two signals, with a reload, anew after a start, and over a standstill', () => {
  const series = faultsOf('signals').map(signalsOf);
  assert.ok(series.every(([first]) => first === 'SIGTERM'));
  const isTwice = (signals: readonly string[]) =>
    signals.filter((one) => one === 'SIGTERM').length === 2;
  assert.ok(series.some((signals) => signals.length === 1));
  assert.ok(series.some(isTwice));
  assert.ok(series.some((signals) => signals.includes('SIGHUP')));
  assert.ok(faultsOf('stop-again').length > 0);
  assert.ok(faultsOf('change').length > 0);
  const freezes = faultsOf('freeze');
  assert.ok(freezes.length > 0);
  for (const { fault } of freezes) assert.ok(fault.kind === 'freeze' && fault.forMs < 1_000);
});

test('engines become five to ten times slower around each wave of stops, and return to their pace before the calm end', () => {
  const paces = faultsOf('pace');
  assert.ok(paces.length > 2 * PLANS.length);
  for (const { atMs, fault } of paces) {
    assert.ok(fault.kind === 'pace' && fault.factor >= 5 && fault.factor <= 10);
    assert.ok(atMs + fault.forMs <= CALM_FROM_MS);
  }
  assert.ok(faultsOf('queue').length > 0);
  assert.ok(faultsOf('late-first-tokens').length > 0);
});

test('the plan of stops stops as many daemons together as a rolling restart and an overlap do, none in the last 8 s', () => {
  const stops = [...faultsOf('signals'), ...faultsOf('stop-again')];
  assert.ok(stops.every(({ atMs }) => atMs <= CALM_FROM_MS));
  for (const { faults } of PLANS) {
    const signalled = faults.filter(({ fault }) => ['signals', 'stop-again'].includes(fault.kind));
    const gaps = signalled.slice(1).map(({ atMs }, index) => atMs - (signalled[index]?.atMs ?? 0));
    assert.ok(gaps.some((gapMs) => gapMs <= 2_000));
  }
});

test('callers of the plan of stops send streams that may be taken up, streams that may not, and web requests', () => {
  const classes = planStops(1, SIZE).sessions?.classes ?? [];
  const kinds = classes.map(({ kind, isResumable }) => `${kind} ${isResumable}`);
  assert.deepEqual(kinds.sort(), [
    'idempotent false',
    'non-idempotent false',
    'streaming false',
    'streaming true',
  ]);
  const total = classes.reduce((sum, { share }) => sum + share, 0);
  assert.ok(Math.abs(total - 1) < 1e-9);
});
