/** The roles of daemons in small and large fleets. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type PeerDaemon, PeerRoster } from '../../src/core/gateway/index.js';

const ZONES = ['north', 'south', 'west'];
const MAX_CACHE_EVENT_POLLS = 12;
const SILENT_MS = 10_000;
const RECENT_MS = 30_000;

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

test('in a small fleet every daemon reports to all others and reads the cache events of every engine', () => {
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

test('an engine has no more watchers than it accepts calls, and they forward to all others in their zones', () => {
  const all = daemons(60);
  const rosters = rostersOf(all);
  for (const engineId of ['e1', 'e2', 'e3', 'e4']) {
    const watchers = all.filter((_, index) =>
      rosters[index]?.isWatcher(engineId, MAX_CACHE_EVENT_POLLS, 0),
    );
    assert.deepEqual(watchers.map(({ zone }) => zone).sort(), ZONES);
    assert.ok(watchers.length <= MAX_CACHE_EVENT_POLLS);
    const recipients = rosters.flatMap((roster) =>
      roster.cacheEventRecipients(engineId, MAX_CACHE_EVENT_POLLS, 0),
    );
    assert.deepEqual(namesOf([...recipients, ...watchers]), namesOf(all));
  }
});

test('engines that accept few calls still have a watcher in each zone', () => {
  const all = daemons(60);
  const watchers = rostersOf(all).filter((roster) => roster.isWatcher('e', 1, 0));
  assert.equal(watchers.length, ZONES.length);
});

/** Records contact with all daemons except one. */
function recordContactExcept(
  roster: PeerRoster,
  all: readonly PeerDaemon[],
  silent: string,
  nowMs: number,
) {
  for (const { name } of all) if (name !== silent) roster.recordContact(name, nowMs);
}

test('a silent relay is replaced before it misses its heartbeats, and is the relay again once it sends', () => {
  const all = daemons(60);
  const rosters = rostersOf(all);
  const relay = all.find((_, index) => rosters[index]?.isRelay(0) === true);
  assert.ok(relay !== undefined);
  const zoneRosters = rosters.filter((_, index) => all[index]?.zone === relay.zone);
  const others = zoneRosters.filter((roster) => !roster.isRelay(0));
  for (const roster of others) {
    recordContactExcept(roster, all, relay.name, 2_000);
    assert.equal(namesOf(roster.changeRecipients(2_000)).includes(relay.name), false);
  }
  assert.equal(others.filter((roster) => roster.isRelay(2_000)).length, 1);
  for (const roster of others) roster.recordRelayContact(relay.name, relay.zone, 2_100);
  assert.equal(others.filter((roster) => roster.isRelay(2_100)).length, 0);
});

test('an engine whose watcher has left gets another one', () => {
  const all = daemons(60);
  const rosters = rostersOf(all);
  const first = all.find(
    (_, index) =>
      (rosters[index]?.cacheEventRecipients('e', MAX_CACHE_EVENT_POLLS, 0).length ?? 0) > 0,
  );
  assert.ok(first !== undefined);
  const left = rosters.filter((_, index) => all[index] !== first);
  for (const roster of left) recordContactExcept(roster, all, first.name, SILENT_MS);
  const zones = left.flatMap((roster) => {
    const recipients = roster.cacheEventRecipients('e', MAX_CACHE_EVENT_POLLS, SILENT_MS);
    return recipients.length > 0 ? [recipients[0]?.zone] : [];
  });
  assert.deepEqual(zones.sort(), ZONES);
});

test('the sender of another zone’s relay messages counts as its relay until it falls silent', () => {
  const all = daemons(60);
  const roster = rostersOf(all)[0];
  assert.ok(roster !== undefined);
  const ranked = namesOf(roster.otherRelays(0).filter(({ zone }) => zone === 'south'));
  const another = all.find(({ name, zone }) => zone === 'south' && name !== ranked[0]);
  assert.ok(another !== undefined);
  roster.recordRelayContact(another.name, 'south', 1_000);
  const southRelays = (nowMs: number) =>
    namesOf(roster.otherRelays(nowMs).filter(({ zone }) => zone === 'south'));
  assert.deepEqual(southRelays(2_000), [another.name]);
  assert.deepEqual(southRelays(9_000), ranked);
});

test('a daemon without a list of daemons takes no role that depends on knowing the whole fleet', () => {
  const roster = new PeerRoster({ name: 'new', zone: 'a' });
  assert.equal(roster.knowsFleetDemand(false), false, 'its own demand is not that of the fleet');
  assert.ok(
    roster.positionFor('usage') > 340,
    'otherwise it would be first, like all that start with it',
  );
  roster.replace([], 0);
  assert.equal(roster.knowsFleetDemand(false), true, 'it is the only daemon');
  assert.equal(roster.positionFor('usage'), 0);
});

test('a daemon that has left the list counts as recent for a while, also where the list is empty', () => {
  const all = daemons(3);
  const [roster] = rostersOf(all);
  assert.ok(roster);
  roster.replace([], 1_000);
  assert.deepEqual(namesOf(roster.allPeers()), []);
  assert.deepEqual(namesOf(roster.recentPeers(1_000 + RECENT_MS)), ['d1', 'd2']);
  assert.deepEqual(namesOf(roster.recentPeers(1_001 + RECENT_MS)), []);
  roster.replace(all, 2_000 + RECENT_MS);
  assert.deepEqual(namesOf(roster.recentPeers(2_000 + RECENT_MS)), ['d1', 'd2']);
});
