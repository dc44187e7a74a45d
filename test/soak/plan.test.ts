/** Plans are determined by their seed, contain every kind of fault over some seeds, and have no faults at the end. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  type Fault,
  planCopies,
  planHerd,
  planOutages,
  planSoak,
  planUpgrade,
} from '../../soak/plan.js';
import type { StartFault } from '../../soak/start-fault.js';
import { planStarts } from '../../soak/start-plan.js';

const SIZE = { seconds: 60, daemons: 9, engines: 8, webServers: 4, requestsPerSecond: 90 };
const KINDS: readonly Fault['kind'][] = [
  'kill',
  'stop',
  'freeze',
  'reload',
  'store-slow',
  'store-down',
  'store-refuses',
  'store-loses-answers',
  'store-writes-late',
  'store-forgets',
  'store-copy',
  'entries-lapse',
  'servers',
  'crash',
  'restart',
  'stray-rows',
  'rests',
  'limits',
  'drain',
  'link',
  'change',
  'duties',
  'burst',
  'callers-leave',
];

test('a seed always gives the same plan, and another seed a different one', () => {
  assert.deepEqual(planSoak(7, SIZE), planSoak(7, SIZE));
  assert.notDeepEqual(planSoak(7, SIZE).faults, planSoak(8, SIZE).faults);
});

test('twelve seeds contain every kind of fault, and no fault in the last 8 s', () => {
  const faults = Array.from({ length: 12 }, (_, seed) => planSoak(seed, SIZE).faults).flat();
  const kinds = new Set(faults.map(({ fault }) => fault.kind));
  assert.deepEqual([...kinds].sort(), [...KINDS].sort());
  assert.ok(faults.every(({ atMs }) => atMs < 52_000));
});

test('the herd plan kills all daemons twice within one window of the retry budget', () => {
  const kills = planHerd(3, SIZE).faults.filter(({ fault }) => fault.kind === 'kill');
  assert.equal(kills.length, 2);
  assert.ok((kills[1]?.atMs ?? 0) - (kills[0]?.atMs ?? 0) < 10_000);
  for (const { fault } of kills) assert.ok(fault.kind === 'kill' && fault.daemons.length === 9);
});

test('the outage plan makes the store unreachable for at least 15 s, and changes routes around the end of each outage', () => {
  const size = { ...SIZE, seconds: 90 };
  const plans = Array.from({ length: 12 }, (_, seed) => planOutages(seed, size));
  const kinds = new Set(plans.flatMap(({ faults }) => faults.map(({ fault }) => fault.kind)));
  assert.deepEqual([...kinds].sort(), ['change', 'store-down', 'store-refuses', 'store-stale']);
  for (const { faults } of plans) {
    for (const { atMs, fault } of faults) {
      if (!fault.kind.startsWith('store-') || !('forMs' in fault)) continue;
      // The change that a stale read lacks was written at the start of the fault.
      const endMs = fault.kind === 'store-stale' ? atMs : atMs + fault.forMs;
      const isNear = (other: number) => other > endMs - 1_000 && other < endMs + 1_000;
      const isChanged = faults.some(({ atMs: at, fault: f }) => f.kind === 'change' && isNear(at));
      assert.ok(isChanged, `no change near the end of ${fault.kind} at ${endMs} ms`);
      assert.ok(fault.kind === 'store-stale' || fault.forMs >= 15_000);
    }
  }
});

test('the copies plan restores the store from older copies, with configuration changes and leaving servers around each restore', () => {
  const plans = Array.from({ length: 12 }, (_, seed) => planCopies(seed, SIZE));
  for (const { faults } of plans) {
    const copies = faults.filter(({ fault }) => fault.kind === 'store-copy');
    assert.ok(copies.length >= 3);
    for (const { atMs, fault } of copies) {
      assert.ok(fault.kind === 'store-copy');
      const isNear = (other: number) => Math.abs(other - atMs) < fault.behindMs + 8_000;
      for (const kind of ['change', 'drain']) {
        assert.ok(faults.some(({ atMs: at, fault: other }) => other.kind === kind && isNear(at)));
      }
    }
  }
});

test('the upgrade plan restarts each daemon before the store is restored from a copy', () => {
  for (let seed = 0; seed < 12; seed += 1) {
    const { faults } = planUpgrade(seed, SIZE);
    const stops = faults.filter(({ fault }) => fault.kind === 'stop');
    const [stop] = stops;
    assert.ok(stops.length === 1 && stop?.fault.kind === 'stop');
    assert.equal(stop.fault.daemons.length, SIZE.daemons);
    const rolledMs = stop.atMs + stop.fault.gapMs * SIZE.daemons;
    const copies = faults.filter(({ fault }) => fault.kind === 'store-copy');
    assert.ok(copies.every(({ atMs }) => atMs > rolledMs));
    for (const kind of ['change', 'drain', 'store-forgets']) {
      assert.ok(faults.some(({ fault }) => fault.kind === kind));
    }
  }
});

test('each plan has requests that crash servers, none starting in the last 8 s', () => {
  for (let seed = 0; seed < 12; seed += 1) {
    const { crashing } = planSoak(seed, SIZE);
    assert.ok(crashing.length >= 1);
    for (const { fromMs, gapMs } of crashing) assert.ok(fromMs < 52_000 && gapMs > 0);
  }
});

test('over twelve seeds, servers have different paces, and web servers have few slots in some plans and many in others', () => {
  const traits = Array.from({ length: 12 }, (_, seed) => planSoak(seed, SIZE).servers);
  assert.ok(traits.some(({ webSlots }) => webSlots <= 3));
  assert.ok(traits.some(({ webSlots }) => webSlots >= 24));
  for (const { paces } of traits) assert.equal(paces.length, SIZE.engines + SIZE.webServers);
  assert.ok(new Set(traits.flatMap(({ paces }) => paces)).size > 2);
});

/** The faults of the plans of starts of twelve seeds, with their times. */
function startFaults(): readonly { readonly atMs: number; readonly fault: StartFault }[] {
  const plans = Array.from({ length: 12 }, (_, seed) => planStarts(seed, SIZE));
  return plans.flatMap(({ faults }) =>
    faults.flatMap(({ atMs, fault }) => (isStartFault(fault) ? [{ atMs, fault }] : [])),
  );
}

function isStartFault(fault: Fault): fault is StartFault {
  return ['signals', 'young-signals', 'ports-taken', 'settings-spoiled'].includes(fault.kind);
}

test('twelve seeds of the plan of starts have each signal, port and flaw of settings, and hinder nothing in the last 8 s', () => {
  const faults = startFaults();
  const signals = faults.flatMap(({ fault }) => ('signals' in fault ? fault.signals : []));
  const kinds = new Set(signals.map(({ signal }) => signal));
  assert.deepEqual([...kinds].sort(), ['SIGHUP', 'SIGINT', 'SIGKILL', 'SIGTERM']);
  const ports = new Set(faults.flatMap(({ fault }) => ('ports' in fault ? fault.ports : [])));
  assert.equal(ports.size, 5);
  const flaws = faults.flatMap(({ fault }) =>
    fault.kind === 'settings-spoiled' ? [`${fault.flaw} ${fault.isAtStart}`] : [],
  );
  assert.equal(new Set(flaws).size, 6);
  for (const { atMs, fault } of faults) {
    assert.ok(atMs + ('forMs' in fault ? fault.forMs : 0) <= 52_000);
  }
});

test('the plan of starts kills all daemons together once, and stops by several signals those that it kills only then', () => {
  for (let seed = 0; seed < 12; seed += 1) {
    const faults = planStarts(seed, SIZE).faults.flatMap(({ fault }) =>
      isStartFault(fault) ? [fault] : [],
    );
    const killing = faults.filter(({ kind }) => kind !== 'signals' && kind !== 'settings-spoiled');
    const [herd, ...others] = killing.filter(({ daemons }) => daemons.length === SIZE.daemons);
    assert.ok(herd !== undefined && others.length === 0);
    const killed = killing.filter((fault) => fault !== herd).flatMap(({ daemons }) => daemons);
    assert.ok(new Set(killed).size <= SIZE.daemons / 3);
    const stops = faults.filter(
      (fault) =>
        fault.kind === 'signals' &&
        fault.signals.filter(({ signal }) => signal === 'SIGTERM').length > 1,
    );
    assert.ok(stops.length > 0);
    assert.ok(stops.every(({ daemons }) => daemons.every((daemon) => !killed.includes(daemon))));
  }
});
