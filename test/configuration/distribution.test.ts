import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { FleetSimulation } from '../../src/lab/scale/fleet-simulation.js';
import { Random } from '../../src/lab/workload/random.js';
import { placeAt, startFleet } from '../membership/fleets.js';
import { outcomeOf, setModel, versionsOf } from './support.js';

const SPREAD_LIMIT_MS = 5_000;

function allHave(fleet: FleetSimulation, version: number): boolean {
  return versionsOf(fleet).every((own) => own >= version);
}

function restartAll(fleet: FleetSimulation): void {
  for (const place of fleet.slots) fleet.kill(place);
  fleet.startAll();
}

test('after a simultaneous restart of all daemons every one has the applied version in force', () => {
  const fleet = startFleet({ daemons: 12 });
  outcomeOf(fleet, placeAt(fleet, 0), setModel('c1', 'labels', 'v1'));
  restartAll(fleet);
  assert.notEqual(
    fleet.runUntil(() => allHave(fleet, 1), SPREAD_LIMIT_MS),
    null,
  );
  assert.ok(fleet.running.every((daemon) => daemon.configuration.ready));
});

test('with the store down a restarted daemon gets its configuration from another daemon', () => {
  const fleet = startFleet({ daemons: 6 });
  outcomeOf(fleet, placeAt(fleet, 0), setModel('c1', 'labels', 'v1'));
  fleet.store.platform.setFaults({ table: { down: true } });
  for (const index of [0, 1, 2, 3, 4, 5]) {
    fleet.kill(placeAt(fleet, index));
    fleet.start(placeAt(fleet, index));
    assert.notEqual(
      fleet.runUntil(() => allHave(fleet, 1), SPREAD_LIMIT_MS),
      null,
    );
  }
});

test('with the store down and all daemons restarted, no daemon is ready until the store is back', () => {
  const fleet = startFleet({ daemons: 6 });
  outcomeOf(fleet, placeAt(fleet, 0), setModel('c1', 'labels', 'v1'));
  fleet.store.platform.setFaults({ table: { down: true } });
  restartAll(fleet);
  fleet.run(120_000);
  assert.ok(fleet.running.every((daemon) => !daemon.configuration.ready && daemon.version < 0));
  fleet.store.platform.setFaults({ table: { down: false } });
  assert.notEqual(
    fleet.runUntil(() => allHave(fleet, 1), 60_000),
    null,
  );
  assert.ok(fleet.running.every((daemon) => daemon.configuration.ready));
});

test('a change whose daemon crashes right after the commit still comes into force everywhere', () => {
  const fleet = startFleet({ daemons: 6 });
  fleet.network.cut = (from) => from.name === 'daemon-0';
  fleet.change(placeAt(fleet, 0), setModel('c1', 'labels', 'v1'));
  fleet.runUntil(() => placeAt(fleet, 0).daemon?.version === 1, 5_000);
  fleet.kill(placeAt(fleet, 0));
  assert.notEqual(
    fleet.runUntil(() => allHave(fleet, 1), 60_000),
    null,
  );
});

test('a document too large for the table is kept in the object store', () => {
  const fleet = startFleet({ daemons: 4 });
  const large = setModel('c1', 'labels', 'v1', { digest: 'large' });
  const models = Object.fromEntries(
    Array.from({ length: 4_000 }, (_, index) => [
      `model-${index}`,
      { version: 'v1', adapters: {}, objective: 'goodput' as const },
    ]),
  );
  const { apply } = large;
  const request = {
    ...large,
    apply: (document: Parameters<typeof apply>[0]) => apply({ ...document, models }),
  };
  const outcome = outcomeOf(fleet, placeAt(fleet, 0), request);
  assert.equal(outcome.kind, 'applied');
  const [row] = fleet.store.platform.table.get(['configuration/current']);
  assert.ok(row !== undefined && JSON.stringify(row.value).length < 200);
  restartAll(fleet);
  assert.notEqual(
    fleet.runUntil(() => allHave(fleet, 1), SPREAD_LIMIT_MS),
    null,
  );
  const second = outcomeOf(fleet, placeAt(fleet, 1), setModel('c2', 'labels', 'v2'));
  assert.equal(second.kind, 'applied');
});

/**
 * Injects random restarts of one daemon or all, zone partitions, store outages, lost answers and
 * changes. Checks that a daemon's version never decreases within one incarnation, and that no daemon
 * is ready with a version lower than that of an applied change.
 */
test('under random faults no version decreases and no ready daemon is behind an applied change', () => {
  for (const seed of [1, 2, 3, 4]) {
    const fleet = startFleet({
      seed,
      daemons: 6,
      network: { loss: 0.02, duplication: 0.02, maxDelayMs: 400 },
    });
    const random = new Random(seed, 7);
    const highest = new Map<string, number>();
    let accepted = 0;
    let changes = 0;
    const watch = (): boolean => {
      for (const place of fleet.slots) {
        const { daemon } = place;
        if (daemon === null) continue;
        const incarnation = `${place.name} ${place.generation}`;
        assert.ok(
          daemon.version >= (highest.get(incarnation) ?? -1),
          `the version of ${incarnation} decreased, seed ${seed}`,
        );
        highest.set(incarnation, daemon.version);
        if (daemon.configuration.ready) {
          assert.ok(
            daemon.version >= accepted,
            `${incarnation} is ready below version ${accepted}, seed ${seed}`,
          );
        }
      }
      for (const outcome of fleet.answers.values()) {
        if (outcome.kind === 'applied') accepted = Math.max(accepted, outcome.version);
      }
      return false;
    };
    for (let round = 0; round < 40; round += 1) {
      const place = placeAt(fleet, random.integer(0, 5));
      switch (random.integer(0, 6)) {
        case 0:
          fleet.kill(place);
          fleet.start(place);
          break;
        case 1:
          restartAll(fleet);
          break;
        case 2:
          fleet.network.cut = (from, to) => (from.zone === place.zone) !== (to.zone === place.zone);
          break;
        case 3:
          fleet.network.cut = () => false;
          break;
        case 4:
          fleet.store.platform.setFaults({ table: { down: random.integer(0, 1) === 1 } });
          break;
        case 5: {
          const calls = random.integer(1, 3);
          const loseAnswers = { kind: 'next', calls } as const;
          fleet.store.platform.setFaults({ table: { loseAnswers } });
          break;
        }
        default:
          changes += 1;
          fleet.change(place, setModel(`c${changes}`, 'labels', `v${changes}`));
      }
      fleet.runUntil(watch, random.integer(100, 8_000));
    }
    fleet.network.cut = () => false;
    fleet.store.platform.setFaults({ table: { down: false, loseAnswers: { kind: 'none' } } });
    fleet.runUntil(watch, 60_000);
    assert.equal(new Set(versionsOf(fleet)).size, 1, `seed ${seed}`);
    assert.ok(fleet.running.every((daemon) => daemon.configuration.ready));
  }
});
