import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MEMBERSHIP_EVENTS } from '../../src/core/logging/catalogue/membership.js';
import { aliveMembers, hasIncarnationEnded } from '../../src/core/membership/index.js';
import { countLogged, daemonAt, hasConverged, placeAt, startFleet } from './fleets.js';

const SECOND_MS = 1_000;
const MINUTE_MS = 60 * SECOND_MS;
/** Twelve daemons: a round of probes, two indirect ones, and the shortest suspicion. */
const DETECTION_LIMIT_MS = 20 * SECOND_MS;

for (const daemons of [2, 4, 12]) {
  test(`a kill among ${daemons} daemons is noticed by all within the bound, at 1% loss`, () => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const fleet = startFleet({ seed, daemons, network: { loss: 0.01 } });
      const victim = daemonAt(fleet, 0).identity;
      fleet.kill(placeAt(fleet, 0));
      const noticed = fleet.runUntil(
        () =>
          fleet.running.every((d) =>
            hasIncarnationEnded(d.membership, victim.name, victim.incarnation),
          ),
        DETECTION_LIMIT_MS,
      );
      assert.notEqual(noticed, null, `seed ${seed}`);
      assert.equal(hasConverged(fleet), true, `seed ${seed}: somebody else was given up too`);
    }
  });
}

test('nobody is given up in ten minutes at 1% loss and duplication', () => {
  for (const seed of [1, 2]) {
    const fleet = startFleet({ seed, network: { loss: 0.01, duplication: 0.01 } });
    fleet.run(10 * MINUTE_MS);
    assert.equal(countLogged(fleet, MEMBERSHIP_EVENTS.died.number), 0, `seed ${seed}`);
    assert.equal(hasConverged(fleet), true);
  }
});

test('a restart under the same name and address is told apart from the old life', () => {
  const fleet = startFleet({ network: { loss: 0.01 } });
  const place = placeAt(fleet, 0);
  const old = daemonAt(fleet, 0).identity;
  fleet.kill(place);
  fleet.start(place);
  const current = daemonAt(fleet, 0).identity;
  const known = fleet.runUntil(
    () =>
      fleet.running.every(
        ({ membership }) =>
          membership === daemonAt(fleet, 0).membership ||
          (hasIncarnationEnded(membership, old.name, old.incarnation) &&
            !hasIncarnationEnded(membership, current.name, current.incarnation)),
      ),
    5 * SECOND_MS,
  );
  assert.notEqual(known, null);
  fleet.run(MINUTE_MS);
  assert.equal(hasConverged(fleet), true);
  assert.equal(countLogged(fleet, MEMBERSHIP_EVENTS.died.number), 0);
});

test('both sides of a partition give each other up and come together again', () => {
  const fleet = startFleet({ daemons: 9 });
  fleet.network.cut = (from, to) => (from.zone === 'zone-0') !== (to.zone === 'zone-0');
  const parted = fleet.runUntil(
    () =>
      fleet.running.every(({ membership, identity }) => {
        const expected = identity.zone === 'zone-0' ? 3 : 6;
        return aliveMembers(membership).length === expected;
      }),
    2 * DETECTION_LIMIT_MS,
  );
  assert.notEqual(parted, null);
  fleet.network.cut = () => false;
  assert.notEqual(
    fleet.runUntil(() => hasConverged(fleet), DETECTION_LIMIT_MS),
    null,
  );
});

test('a cut of one way only gives up nobody: others probe in one another’s stead', () => {
  const fleet = startFleet({ daemons: 8 });
  fleet.network.cut = (from, to) => from.name === 'daemon-0' && to.name === 'daemon-1';
  fleet.run(2 * MINUTE_MS);
  assert.equal(countLogged(fleet, MEMBERSHIP_EVENTS.died.number), 0);
});

test('a planned leave is known at once and is no failure', () => {
  const fleet = startFleet({ daemons: 8 });
  const leaver = daemonAt(fleet, 3);
  leaver.leave();
  const { name, incarnation } = leaver.identity;
  const others = () => fleet.running.filter((daemon) => daemon !== leaver);
  const known = fleet.runUntil(
    () => others().every(({ membership }) => hasIncarnationEnded(membership, name, incarnation)),
    SECOND_MS,
  );
  assert.notEqual(known, null);
  fleet.kill(placeAt(fleet, 3));
  fleet.run(MINUTE_MS);
  assert.equal(countLogged(fleet, MEMBERSHIP_EVENTS.died.number), 0);
  assert.ok(others().every(({ membership }) => membership.members.get(name)?.status === 'left'));
});

test('a daemon that wakes from a pause gives up nobody and is taken back', () => {
  const fleet = startFleet({ daemons: 6, network: { loss: 0.01 } });
  fleet.pause(placeAt(fleet, 2), 30 * SECOND_MS);
  fleet.run(30 * SECOND_MS);
  const wokenAt = fleet.time.now;
  assert.notEqual(
    fleet.runUntil(() => hasConverged(fleet), DETECTION_LIMIT_MS),
    null,
  );
  fleet.run(MINUTE_MS);
  const givenUp = fleet.logged.filter(
    (line) => line.number === MEMBERSHIP_EVENTS.died.number && line.at >= wokenAt,
  );
  assert.deepEqual(givenUp, []);
});
