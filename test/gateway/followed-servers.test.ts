/**
 * Guards against daemons that vouch for time in which they did not follow the list of servers, and against daemons in
 * touch with the store that count as out of touch, as their relay or a held call is what keeps them up to date.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FollowedSpan } from '../../src/core/gateway/index.js';
import { DepartingFleet } from './support/departing-fleet.js';
import { seededRandom } from './support/seeded-random.js';

const LONG_MS = 30_000;
const START_MS = 5_000;
const CHANGE_EVERY_MS = 150;
const OUTAGE_CONTACTS = 4;

function fleetOf(hasRelays: boolean, contactMs: number): DepartingFleet {
  const zones = 3;
  const daemonsPerZone = hasRelays ? 6 : 3;
  const random = seededRandom(82);
  return new DepartingFleet({
    zones,
    daemonsPerZone,
    contactMs,
    drainMs: 3_000,
    hasRelays,
    random,
  });
}

function followedMs(fleet: DepartingFleet): readonly number[] {
  return fleet.daemons.map(({ follower }) => follower.serversFollowedMs() ?? 0);
}

for (const hasRelays of [false, true]) {
  const what = hasRelays ? 'with relays' : 'without relays';
  for (const contactMs of [1_000, 8_000]) {
    for (const list of ['rests', 'changes']) {
      test(`daemons ${what} follow a list that ${list} without a gap (contactMs ${contactMs})`, async () => {
        const fleet = fleetOf(hasRelays, contactMs);
        await fleet.start(['i-1', 'i-2']);
        if (list === 'changes') fleet.keepChanging(CHANGE_EVERY_MS);
        for (let passed = 0; passed < LONG_MS; passed += 100) {
          await fleet.pass(100);
          assert.ok(Math.min(...followedMs(fleet)) >= passed, `after ${passed} ms`);
        }
        fleet.stop();
      });
    }
  }

  test(`daemons ${what} vouch for no time before an outage of the store`, async () => {
    const contactMs = 3_000;
    const fleet = fleetOf(hasRelays, contactMs);
    await fleet.start(['i-1']);
    await fleet.pass(START_MS);
    for (const { link } of fleet.daemons) link.set('refuses');
    await fleet.pass(OUTAGE_CONTACTS * contactMs);
    assert.equal(Math.max(...followedMs(fleet)), 0);
    for (const { link } of fleet.daemons) link.set('open');
    await fleet.pass(START_MS);
    const followed = followedMs(fleet);
    assert.ok(Math.min(...followed) > 0);
    assert.ok(Math.max(...followed) <= START_MS);
    fleet.stop();
  });
}

test('daemons whose relays fall silent follow the list without a gap', async () => {
  const fleet = fleetOf(true, 3_000);
  await fleet.start(['i-1']);
  fleet.halt(fleet.relays);
  await fleet.pass(LONG_MS);
  const running = fleet.daemons.filter(({ isStopped }) => !isStopped);
  for (const { follower } of running) assert.ok((follower.serversFollowedMs() ?? 0) >= LONG_MS);
  fleet.stop();
});

test('a gap in what is known, and a restore of the store, end what a daemon vouches for', () => {
  const span = new FollowedSpan(100);
  assert.equal(span.lengthMs(0), undefined);
  span.record(0, 0);
  span.record(100, 100);
  assert.equal(span.lengthMs(200), 200);
  assert.equal(span.lengthMs(201), undefined);
  span.record(201, 201);
  assert.equal(span.lengthMs(250), 49);
  span.restart();
  assert.equal(span.lengthMs(250), undefined);
});

test('after a gap a daemon vouches for the list from when it knew it, not from the moment before', () => {
  const span = new FollowedSpan(100);
  span.record(0, 0);
  span.record(300, 390);
  assert.equal(span.lengthMs(390), 0);
  assert.equal(span.lengthMs(400), 10);
});
