/** Who does what in a fleet of many daemons. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type PeerDaemon, PeerRoster } from '../../src/core/gateway/index.js';

const ZONES = ['north', 'south', 'west'];

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

test('in a small fleet everyone tells everyone', () => {
  const all = daemons(9);
  for (const roster of rostersOf(all)) {
    assert.equal(roster.isLarge, false);
    assert.equal(roster.toldOfChanges(0).length, 8);
    assert.equal(roster.isRelay(0), false);
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
    assert.deepEqual(namesOf(roster.toldOfChanges(0)), namesOf(own));
    assert.deepEqual(namesOf(roster.otherRelays(0)), namesOf(others));
  }
});

/** All daemons are heard but the named ones. */
function hearAllBut(roster: PeerRoster, all: readonly PeerDaemon[], silent: string, nowMs: number) {
  for (const { name } of all) if (name !== silent) roster.heard(name, nowMs);
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
    assert.equal(namesOf(roster.toldOfChanges(2_000)).includes(relay.name), false);
  }
  assert.equal(others.filter((roster) => roster.isRelay(2_000)).length, 1);
  for (const roster of others) roster.heardRelay(relay.name, relay.zone, 2_100);
  assert.equal(others.filter((roster) => roster.isRelay(2_100)).length, 0);
});

test('the relay of another zone is told of changes as it said itself, until it falls silent', () => {
  const all = daemons(60);
  const roster = rostersOf(all)[0];
  assert.ok(roster !== undefined);
  const ranked = namesOf(roster.otherRelays(0).filter(({ zone }) => zone === 'south'));
  const another = all.find(({ name, zone }) => zone === 'south' && name !== ranked[0]);
  assert.ok(another !== undefined);
  roster.heardRelay(another.name, 'south', 1_000);
  const told = (nowMs: number) =>
    namesOf(roster.otherRelays(nowMs).filter(({ zone }) => zone === 'south'));
  assert.deepEqual(told(2_000), [another.name]);
  assert.deepEqual(told(9_000), ranked);
});
