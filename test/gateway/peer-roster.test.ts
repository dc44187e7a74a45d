/** Who does what in a fleet of many daemons. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type PeerDaemon, PeerRoster } from '../../src/core/gateway/index.js';

const ZONES = ['north', 'south', 'west'];
const MAX_CACHE_EVENT_POLLS = 12;
const SILENT_MS = 10_000;

function daemons(count: number): PeerDaemon[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `d${index}`,
    host: '127.0.0.1',
    port: 9_000 + index,
    zone: ZONES[index % ZONES.length] ?? '',
  }));
}

function rostersOf(all: readonly PeerDaemon[], nowMs = 0): PeerRoster[] {
  return all.map((daemon) => {
    const roster = new PeerRoster(daemon);
    roster.replace(all, nowMs);
    return roster;
  });
}

function namesOf(peers: readonly PeerDaemon[]): string[] {
  return peers.map(({ name }) => name).sort();
}

test('in a small fleet everyone tells everyone and asks every engine', () => {
  const all = daemons(9);
  for (const [index, roster] of rostersOf(all).entries()) {
    assert.equal(roster.isLarge, false);
    assert.equal(roster.changeRecipients(0).length, 8);
    assert.equal(roster.isRelay(0), false);
    assert.equal(roster.isWatcher('engine', MAX_CACHE_EVENT_POLLS, 0), true);
    assert.deepEqual(
      roster.cacheEventRecipients('engine', MAX_CACHE_EVENT_POLLS, 0),
      [],
      all[index]?.name,
    );
  }
});

test('in a large fleet all agree on one relay for each zone', () => {
  const all = daemons(60);
  const rosters = rostersOf(all);
  const relays = all.filter((_, index) => rosters[index]?.isRelay(0) === true);
  assert.deepEqual(relays.map(({ zone }) => zone).sort(), ZONES);
  for (const [index, roster] of rosters.entries()) {
    const self = all[index];
    const own = relays.filter(({ zone, name }) => zone === self?.zone && name !== self.name);
    const others = relays.filter(({ zone }) => zone !== self?.zone);
    assert.deepEqual(namesOf(roster.changeRecipients(0)), namesOf(own));
    assert.deepEqual(namesOf(roster.otherRelays(0)), namesOf(others));
  }
});

test('the watchers of an engine fit its calls and everyone else in their zones is told', () => {
  const all = daemons(60);
  const rosters = rostersOf(all);
  for (const engineId of ['e1', 'e2', 'e3', 'e4']) {
    const watchers = all.filter((_, index) =>
      rosters[index]?.isWatcher(engineId, MAX_CACHE_EVENT_POLLS, 0),
    );
    assert.deepEqual(watchers.map(({ zone }) => zone).sort(), ZONES);
    assert.ok(watchers.length <= MAX_CACHE_EVENT_POLLS);
    const told = rosters.flatMap((roster) =>
      roster.cacheEventRecipients(engineId, MAX_CACHE_EVENT_POLLS, 0),
    );
    assert.deepEqual(namesOf([...told, ...watchers]), namesOf(all));
  }
});

test('engines that take few calls still have a watcher in each zone', () => {
  const all = daemons(60);
  const watchers = rostersOf(all).filter((roster) => roster.isWatcher('e', 1, 0));
  assert.equal(watchers.length, ZONES.length);
});

/** All daemons are heard but the named ones. */
function hearAllBut(roster: PeerRoster, all: readonly PeerDaemon[], silent: string, nowMs: number) {
  for (const { name } of all) if (name !== silent) roster.recordContact(name, nowMs);
}

test('a relay that falls silent is passed over soon, and taken back when it is heard', () => {
  const all = daemons(60);
  const rosters = rostersOf(all);
  const relay = all.find((_, index) => rosters[index]?.isRelay(0) === true);
  assert.ok(relay !== undefined);
  const zoneRosters = rosters.filter((_, index) => all[index]?.zone === relay.zone);
  const others = zoneRosters.filter((roster) => !roster.isRelay(0));
  for (const roster of others) {
    hearAllBut(roster, all, relay.name, 2_000);
    assert.equal(namesOf(roster.changeRecipients(2_000)).includes(relay.name), false);
  }
  assert.equal(others.filter((roster) => roster.isRelay(2_000)).length, 1);
  for (const roster of others) roster.recordRelayContact(relay.name, relay.zone, 2_100);
  assert.equal(others.filter((roster) => roster.isRelay(2_100)).length, 0);
});

test('an engine of a watcher that is gone has another one', () => {
  const all = daemons(60);
  const rosters = rostersOf(all);
  const first = all.find(
    (_, index) =>
      (rosters[index]?.cacheEventRecipients('e', MAX_CACHE_EVENT_POLLS, 0).length ?? 0) > 0,
  );
  assert.ok(first !== undefined);
  const left = rosters.filter((_, index) => all[index] !== first);
  for (const roster of left) hearAllBut(roster, all, first.name, SILENT_MS);
  const zones = left.flatMap((roster) => {
    const told = roster.cacheEventRecipients('e', MAX_CACHE_EVENT_POLLS, SILENT_MS);
    return told.length > 0 ? [told[0]?.zone] : [];
  });
  assert.deepEqual(zones.sort(), ZONES);
});

test('the relay of another zone is told of changes as it said itself, until it falls silent', () => {
  const all = daemons(60);
  const roster = rostersOf(all)[0];
  assert.ok(roster !== undefined);
  const ranked = namesOf(roster.otherRelays(0).filter(({ zone }) => zone === 'south'));
  const another = all.find(({ name, zone }) => zone === 'south' && name !== ranked[0]);
  assert.ok(another !== undefined);
  roster.recordRelayContact(another.name, 'south', 1_000);
  const told = (nowMs: number) =>
    namesOf(roster.otherRelays(nowMs).filter(({ zone }) => zone === 'south'));
  assert.deepEqual(told(2_000), [another.name]);
  assert.deepEqual(told(9_000), ranked);
});

test('a daemon that has read no list of daemons takes no part that the whole fleet is needed for', () => {
  const roster = new PeerRoster({ name: 'new', zone: 'a' });
  assert.equal(roster.knowsFleetDemand(false), false, 'its own part is not the whole');
  assert.ok(roster.positionFor('usage') > 340, 'it would be first, as all that start with it');
  roster.replace([], 0);
  assert.equal(roster.knowsFleetDemand(false), true, 'it is alone');
  assert.equal(roster.positionFor('usage'), 0);
});
