import assert from 'node:assert/strict';
import { test } from 'node:test';
import { daemonAt, placeAt, startFleet } from '../membership/fleets.js';
import { outcomeOf, setModel, versionsOf } from './support.js';

function kinds(outcomes: readonly { readonly kind: string }[]): readonly string[] {
  return outcomes.map((outcome) => outcome.kind).sort();
}

test('a change answered as applied is in force on every daemon at the time of the answer', () => {
  for (const seed of [1, 2, 3]) {
    const fleet = startFleet({ seed, daemons: 8, network: { loss: 0.01 } });
    const outcome = outcomeOf(fleet, placeAt(fleet, 3), setModel('c1', 'labels', 'v1'));
    assert.deepEqual(outcome, { kind: 'applied', id: 'c1', version: 1, inForce: 8 });
    assert.deepEqual(new Set(versionsOf(fleet)), new Set([1]));
  }
});

test('of two changes for the same version one is applied and the other is refused with the newer version', () => {
  const fleet = startFleet({ daemons: 4 });
  outcomeOf(fleet, placeAt(fleet, 0), setModel('c0', 'labels', 'v1'));
  const one = setModel('c1', 'labels', 'v2', { ifVersion: 1 });
  const other = setModel('c2', 'labels', 'v3', { ifVersion: 1 });
  fleet.change(placeAt(fleet, 1), one);
  fleet.change(placeAt(fleet, 2), other);
  fleet.runUntil(() => fleet.answers.has(one.token) && fleet.answers.has(other.token), 30_000);
  const outcomes = [one, other].map((request) => fleet.answers.get(request.token));
  const [applied, refused] = outcomes[0]?.kind === 'applied' ? outcomes : outcomes.toReversed();
  assert.equal(applied?.kind, 'applied');
  assert.ok(refused?.kind === 'refused');
  assert.equal(refused.fault.code, 'version-conflict');
  assert.equal(refused.fault.outcome, 'refused-not-run');
  assert.equal(refused.currentVersion, 2);
});

test('concurrent changes without a version are all applied, except those that are invalid on the newer document', () => {
  const fleet = startFleet({ daemons: 4 });
  const requests = [
    setModel('c1', 'labels', 'v1'),
    setModel('c2', 'bags', 'v1'),
    setModel('c3', 'tiles', 'v1', { mustBeAbsent: true }),
    setModel('c4', 'tiles', 'v1', { mustBeAbsent: true }),
  ];
  requests.forEach((request, index) => {
    fleet.change(placeAt(fleet, index), request);
  });
  fleet.runUntil(() => requests.every(({ token }) => fleet.answers.has(token)), 30_000);
  const outcomes = requests.map(({ token }) => fleet.answers.get(token));
  assert.deepEqual(kinds(outcomes.filter((outcome) => outcome !== undefined)), [
    'applied',
    'applied',
    'applied',
    'refused',
  ]);
  const models = daemonAt(fleet, 0).configuration.inForce?.document.models ?? {};
  assert.deepEqual(Object.keys(models).sort(), ['bags', 'labels', 'tiles']);
});

test('a change repeated under the same id takes effect once, concurrently or later, through any daemon', () => {
  const fleet = startFleet({ daemons: 4 });
  const repeats = [0, 0, 1].map((index) => {
    const request = setModel('c1', 'labels', 'v1');
    fleet.change(placeAt(fleet, index), request);
    return request;
  });
  fleet.runUntil(() => repeats.every(({ token }) => fleet.answers.has(token)), 30_000);
  const later = outcomeOf(fleet, placeAt(fleet, 2), setModel('c1', 'labels', 'v1'));
  for (const outcome of [...repeats.map(({ token }) => fleet.answers.get(token)), later]) {
    assert.deepEqual(outcome, { kind: 'applied', id: 'c1', version: 1, inForce: 4 });
  }
  const other = outcomeOf(fleet, placeAt(fleet, 2), setModel('c1', 'labels', 'v2'));
  assert.ok(other.kind === 'refused' && other.fault.code === 'idempotency-conflict');
  assert.deepEqual(new Set(versionsOf(fleet)), new Set([1]));
});

test('a dry run describes the change and writes nothing', () => {
  const fleet = startFleet({ daemons: 2 });
  const request = setModel('c1', 'labels', 'v1', { dryRun: true });
  const outcome = outcomeOf(fleet, placeAt(fleet, 0), request);
  const description = ['labels is served as v1'];
  assert.deepEqual(outcome, { kind: 'dry-run', id: 'c1', version: 0, description });
  fleet.run(20_000);
  assert.deepEqual(versionsOf(fleet), [0, 0]);
});

for (const lost of ['loseCalls', 'loseAnswers'] as const) {
  test(`a change whose commit call or answer is lost (${lost}) is applied once`, () => {
    const fleet = startFleet({ daemons: 4 });
    const faults = { writesOnly: true, [lost]: { kind: 'next', calls: 1 } };
    fleet.store.platform.setFaults({ table: faults });
    const outcome = outcomeOf(fleet, placeAt(fleet, 0), setModel('c1', 'labels', 'v1'));
    assert.deepEqual(outcome, { kind: 'applied', id: 'c1', version: 1, inForce: 4 });
  });
}

test('with the store down a change is refused as not run, and does not take effect later', () => {
  const fleet = startFleet({ daemons: 4 });
  fleet.store.platform.setFaults({ table: { down: true } });
  const outcome = outcomeOf(fleet, placeAt(fleet, 0), setModel('c1', 'labels', 'v1'));
  assert.ok(outcome.kind === 'refused');
  assert.equal(outcome.fault.code, 'store-unavailable');
  assert.equal(outcome.fault.outcome, 'refused-not-run');
  fleet.store.platform.setFaults({ table: { down: false } });
  fleet.run(60_000);
  assert.deepEqual(new Set(versionsOf(fleet)), new Set([0]));
});

test('a commit answer lost just before the store goes down gives outcome unknown, and a repeat gives applied', () => {
  const fleet = startFleet({ daemons: 4 });
  const loseAnswers = { kind: 'next', calls: 1 } as const;
  fleet.store.platform.setFaults({ table: { writesOnly: true, loseAnswers } });
  const request = setModel('c1', 'labels', 'v1');
  fleet.change(placeAt(fleet, 0), request);
  fleet.run(500);
  fleet.store.platform.setFaults({ table: { down: true } });
  fleet.runUntil(() => fleet.answers.has(request.token), 30_000);
  const outcome = fleet.answers.get(request.token);
  assert.ok(outcome?.kind === 'unknown' && outcome.recordedVersion === null);
  assert.match(outcome.message, /changes where id = "c1"/);
  fleet.store.platform.setFaults({ table: { down: false } });
  const again = outcomeOf(fleet, placeAt(fleet, 1), setModel('c1', 'labels', 'v1'));
  assert.deepEqual(again, { kind: 'applied', id: 'c1', version: 1, inForce: 4 });
});

test('with a zone partitioned a change is not answered as applied until it is in force there', () => {
  const fleet = startFleet({ daemons: 9 });
  fleet.network.cut = (from, to) => (from.zone === 'zone-2') !== (to.zone === 'zone-2');
  const outcome = outcomeOf(fleet, placeAt(fleet, 0), setModel('c1', 'labels', 'v1'));
  assert.ok(outcome.kind === 'unknown');
  assert.equal(outcome.recordedVersion, 1);
  assert.deepEqual(outcome.waitingFor, ['daemon-2', 'daemon-5', 'daemon-8']);
  fleet.network.cut = () => false;
  const healed = fleet.runUntil(() => versionsOf(fleet).every((version) => version === 1), 30_000);
  assert.notEqual(healed, null);
  const again = outcomeOf(fleet, placeAt(fleet, 0), setModel('c1', 'labels', 'v1'));
  assert.deepEqual(again, { kind: 'applied', id: 'c1', version: 1, inForce: 9 });
});

test('a change waits for a daemon that is down while it is listed, and not once it is delisted', () => {
  const fleet = startFleet({ daemons: 4 });
  fleet.kill(placeAt(fleet, 3));
  fleet.run(30_000);
  const waiting = outcomeOf(fleet, placeAt(fleet, 0), setModel('c1', 'labels', 'v1'));
  assert.ok(waiting.kind === 'unknown');
  assert.deepEqual(waiting.waitingFor, ['daemon-3']);
  fleet.delist(placeAt(fleet, 3));
  fleet.run(5_000);
  const applied = outcomeOf(fleet, placeAt(fleet, 0), setModel('c2', 'labels', 'v2'));
  assert.deepEqual(applied, { kind: 'applied', id: 'c2', version: 2, inForce: 3 });
});
