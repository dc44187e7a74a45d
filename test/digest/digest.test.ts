import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { condense, expand, revisionOf } from '../../src/core/digest/condense.js';
import {
  createDigest,
  earliestPollTime,
  stepDigest,
  usedEngines,
} from '../../src/core/digest/index.js';
import { createMembership } from '../../src/core/membership/index.js';
import { GRANT_MS, grantEnd } from '../../src/core/registry/grant.js';
import type { FleetSimulation } from '../../src/lab/scale/fleet-simulation.js';
import { Random } from '../../src/lab/workload/random.js';
import { placeAt, startFleet } from '../membership/fleets.js';
import { someReport } from '../peer/examples.js';

const ENDPOINT = { address: '10.0.0.1', port: 7000 };

/** By the true time, the reports of the simulation's engines being marked with their asking. */
function assertGrantsAreSafe(fleet: FleetSimulation): number {
  let granted = 0;
  for (const { daemon, clockOffset, name } of fleet.places) {
    for (const view of daemon?.digest.views.values() ?? []) {
      if (view.report !== null) {
        const trulyAskedAt = view.report.load.ageMs;
        const until = view.grantedUntil - clockOffset;
        assert.ok(until <= trulyAskedAt + GRANT_MS, `${name} may send ${until - trulyAskedAt} ms`);
        granted += until > fleet.time.now ? 1 : 0;
      }
    }
  }
  return granted;
}

test('a grant ends in time whatever the clocks, the delays and a drift within the margin', () => {
  const span = fc.double({ min: 0, max: 10_000, noNaN: true });
  fc.assert(
    fc.property(
      fc.record({
        offset: fc.double({ min: -1e9, max: 1e9, noNaN: true }),
        drift: fc.double({ min: 0.96, max: 1.04, noNaN: true }),
        sentAt: span,
        delay: span,
        askedAt: span,
        toDigest: span,
      }),
      ({ offset, drift, sentAt, delay, askedAt, toDigest }) => {
        const watcherClock = (time: number) => offset + drift * time;
        const receivedAt = sentAt + delay;
        const digestAt = Math.max(receivedAt, askedAt) + toDigest;
        const echo = {
          incarnation: 1,
          sentAt,
          ageMs: watcherClock(digestAt) - watcherClock(receivedAt),
        };
        const ageMs = watcherClock(digestAt) - watcherClock(askedAt);
        const bound = earliestPollTime(echo, ageMs);
        assert.ok(bound <= askedAt + 0.01);
        assert.ok(grantEnd(bound) <= askedAt + GRANT_MS);
      },
    ),
    { seed: 1, numRuns: 2_000 },
  );
});

test('through loss, delays, pauses, restarts and cuts no daemon holds a grant for too long', () => {
  for (const seed of [1, 2]) {
    const network = { loss: 0.05, duplication: 0.05, maxDelayMs: 400 };
    const fleet = startFleet({ seed, daemons: 5, engines: 8, network });
    const random = new Random(seed, 5);
    let granted = 0;
    for (let round = 0; round < 60; round += 1) {
      const place = placeAt(fleet, random.integer(0, 4));
      const action = random.integer(0, 4);
      if (action === 0) fleet.pause(place, random.integer(100, 4_000));
      if (action === 1) {
        fleet.kill(place);
        fleet.start(place);
      }
      if (action === 2) fleet.network.cut = (from) => from.name === place.name;
      if (action === 3) fleet.network.cut = () => false;
      for (let part = 0; part < 5; part += 1) {
        fleet.run(random.integer(20, 400));
        granted += assertGrantsAreSafe(fleet);
      }
    }
    assert.ok(granted > 1_000, 'no grants to judge');
  }
});

test('an echo of an earlier life of this daemon is not believed', () => {
  const identity = { name: 'a', zone: 'z', endpoint: ENDPOINT, incarnation: 2 };
  const membership = createMembership(identity);
  const context = { now: 100, entropy: 1 };
  const machine = {
    ...ENDPOINT,
    kind: 'engine' as const,
    name: 'engine-1',
    zone: 'z',
    state: 'live' as const,
    accelerator: 'new',
  };
  const listed = { kind: 'engines-listed', engines: [machine] } as const;
  let { state } = stepDigest(createDigest('a'), listed, context, membership);
  state = stepDigest(state, { kind: 'tick' }, context, membership).state;
  const receive = (incarnation: number) => {
    const echo = { incarnation, sentAt: 90, ageMs: 5 };
    const own = { report: someReport('engine-1'), revision: 1, askedAt: 0 };
    const engines = [condense(own, 5, null)];
    const header = {
      sender: 'b',
      incarnation: 1,
      sentAt: 0,
      inForce: null,
      highestVersion: 0,
    };
    const message = { kind: 'engine-digest', echo, engines } as const;
    const event = { kind: 'peer-received', from: ENDPOINT, header, message } as const;
    return stepDigest(state, event, context, membership).state.views.get('engine-1')?.reportedAt;
  };
  assert.equal(receive(1), Number.NEGATIVE_INFINITY);
  assert.equal(receive(2), 90);
});

test('an inventory is left out for who has it, and a digest without one is no report for others', () => {
  const report = someReport('engine-1');
  const revision = revisionOf(report);
  const own = { report, revision, askedAt: 0 };
  const whole = condense(own, 5, null);
  assert.deepEqual(expand(whole, undefined), report);
  assert.notEqual(whole.inventory, null);
  const part = condense(own, 5, revision);
  assert.equal(part.inventory, null);
  assert.equal(expand(part, undefined), null);
  const { inventory } = whole;
  assert.ok(inventory !== null);
  assert.deepEqual(expand(part, { revision, inventory }), report);
  assert.equal(expand(part, { revision: revision + 1, inventory }), null);
  assert.notEqual(revisionOf({ ...report, role: 'decode' }), revision);
});

test('each engine is asked by its one watcher, and by another one after that is killed', () => {
  const fleet = startFleet({ daemons: 4, zones: 2, engines: 8 });
  fleet.run(15_000);
  const watchers = () => [...fleet.polls.values()].map((names) => new Set(names));
  assert.equal(fleet.polls.size, 8);
  assert.ok(watchers().every((names) => names.size === 1));
  const [victim] = watchers()[0] ?? [];
  const place = fleet.places.find(({ name }) => name === victim);
  assert.ok(place !== undefined);
  fleet.kill(place);
  fleet.run(30_000);
  assert.ok(watchers().every((names) => names.size === 1 && !names.has(place.name)));
  for (const daemon of fleet.running) {
    assert.equal(daemon.digest.views.size, 8);
  }
  assert.equal(assertGrantsAreSafe(fleet), 24);
});

test('while a watcher is dead but not yet given up, others ask its engines themselves', () => {
  const fleet = startFleet({ daemons: 4, zones: 1, engines: 4 });
  fleet.run(15_000);
  const [victim] = fleet.polls.get('engine-0') ?? [];
  const place = fleet.places.find(({ name }) => name === victim);
  assert.ok(place !== undefined);
  fleet.kill(place);
  for (let part = 0; part < 30; part += 1) {
    fleet.run(200);
    if (part >= 10) {
      assert.equal(assertGrantsAreSafe(fleet), 12);
    }
  }
});

test('subsets are even, and a daemon’s subset hardly changes when another one leaves', () => {
  const daemons = Array.from({ length: 68 }, (_, index) => `daemon-${index}`);
  const engines = Array.from({ length: 164 }, (_, index) => ({
    ...ENDPOINT,
    kind: 'engine' as const,
    name: `engine-${index}`,
    zone: 'z',
    state: 'live' as const,
    accelerator: 'new',
  }));
  const counts = new Map(engines.map(({ name }) => [name, 0]));
  let moved = 0;
  for (const daemon of daemons) {
    const used = usedEngines(daemon, daemons, engines);
    assert.equal(used.size, 8);
    for (const engine of used) counts.set(engine, (counts.get(engine) ?? 0) + 1);
    const after = usedEngines(daemon, daemons.slice(1), engines);
    moved += [...used].filter((engine) => !after.has(engine)).length;
  }
  const users = [...counts.values()];
  assert.ok(Math.min(...users) >= 3 && Math.max(...users) <= 4);
  assert.ok(moved / (68 * 8) < 0.2, `${moved} of ${68 * 8} moved`);
});
