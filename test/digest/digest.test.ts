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

/**
 * Asserts that no grant outlasts `GRANT_MS` after the true poll time, which simulated engines put
 * into `load.ageMs`. Returns the number of grants in force.
 */
function assertGrantsAreSafe(fleet: FleetSimulation): number {
  let granted = 0;
  for (const { daemon, clockOffset, name } of fleet.slots) {
    for (const view of daemon?.digest.views.values() ?? []) {
      if (view.report !== null) {
        const trulyAskedAt = view.report.load.ageMs;
        const until = view.grantedUntil - clockOffset;
        assert.ok(
          until <= trulyAskedAt + GRANT_MS,
          `${name} may send until ${until - trulyAskedAt} ms after the poll`,
        );
        granted += until > fleet.time.now ? 1 : 0;
      }
    }
  }
  return granted;
}

test('a relayed grant ends in time for any clock offset and delay and any drift within the margin', () => {
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

test('under loss, delays, pauses, restarts and partitions no daemon holds a grant for too long', () => {
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
    assert.ok(granted > 1_000, 'too few grants were checked');
  }
});

test('a digest that echoes an earlier incarnation of this daemon is ignored', () => {
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

test('a digest omits an inventory that the receiver has; without that inventory it yields no report', () => {
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

test('each engine is polled by exactly one watcher, and by another one after the watcher is killed', () => {
  const fleet = startFleet({ daemons: 4, zones: 2, engines: 8 });
  fleet.run(15_000);
  const watchers = () => [...fleet.polls.values()].map((names) => new Set(names));
  assert.equal(fleet.polls.size, 8);
  assert.ok(watchers().every((names) => names.size === 1));
  const [victim] = watchers()[0] ?? [];
  const place = fleet.slots.find(({ name }) => name === victim);
  assert.ok(place !== undefined);
  fleet.kill(place);
  fleet.run(30_000);
  assert.ok(watchers().every((names) => names.size === 1 && !names.has(place.name)));
  for (const daemon of fleet.running) {
    assert.equal(daemon.digest.views.size, 8);
  }
  assert.equal(assertGrantsAreSafe(fleet), 24);
});

test('daemons poll the engines of a killed watcher directly until the watcher is declared dead', () => {
  const fleet = startFleet({ daemons: 4, zones: 1, engines: 4 });
  fleet.run(15_000);
  const [victim] = fleet.polls.get('engine-0') ?? [];
  const place = fleet.slots.find(({ name }) => name === victim);
  assert.ok(place !== undefined);
  fleet.kill(place);
  for (let part = 0; part < 30; part += 1) {
    fleet.run(200);
    if (part >= 10) {
      assert.equal(assertGrantsAreSafe(fleet), 12);
    }
  }
});

test('subsets use engines evenly, and a daemon’s subset changes little when another daemon leaves', () => {
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
  assert.ok(moved / (68 * 8) < 0.2, `${moved} of ${68 * 8} subset entries changed`);
});
