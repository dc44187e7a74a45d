/** Which daemon a request goes to when its own daemon is cut off from the servers. */
import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { ForwardingPeers, type PeerDaemon } from '../../src/core/gateway/index.js';

const SERVICE = 'viewer';

let peers: ForwardingPeers;

beforeEach(() => {
  peers = new ForwardingPeers('a');
});

function peer(name: string, zone: string, forwardPort: number | undefined = 1): PeerDaemon {
  return { name, host: '127.0.0.1', port: 1, forwardPort, zone };
}

function choose(among: readonly PeerDaemon[], tried: readonly string[] = [], nowMs = 0) {
  const choice = { service: SERVICE, peers: among, tried: new Set(tried), nowMs, entropy: 0 };
  return peers.choose(choice)?.name;
}

test('a daemon of the own zone comes first', () => {
  assert.equal(choose([peer('b-1', 'b'), peer('a-1', 'a')]), 'a-1');
});

test('a daemon that takes no forwarded requests is not chosen', () => {
  assert.equal(choose([{ name: 'a-1', host: '127.0.0.1', port: 1, zone: 'a' }]), undefined);
});

test('a daemon that did not take a request is passed over for a second, for that service only', () => {
  peers.recordUnsuitable('a-1', SERVICE, 0);
  assert.equal(choose([peer('a-1', 'a')], [], 900), undefined);
  assert.equal(choose([peer('a-1', 'a')], [], 1_000), 'a-1');
  peers.recordUnsuitable('a-1', 'reader', 1_000);
  assert.equal(choose([peer('a-1', 'a')], [], 1_000), 'a-1');
});

test('after two daemons of its zone a request goes to another zone', () => {
  const zone = [1, 2, 3, 4].map((index) => peer(`a-${index}`, 'a'));
  assert.equal(choose([...zone, peer('b-1', 'b')], ['a-1', 'a-2']), 'b-1');
});

test('while several daemons of the zone are cut off, requests go to another zone first', () => {
  const zone = [1, 2, 3, 4].map((index) => peer(`a-${index}`, 'a'));
  for (const { name } of zone.slice(0, 3)) peers.recordUnsuitable(name, SERVICE, 0);
  assert.equal(choose([...zone, peer('b-1', 'b')]), 'b-1');
  assert.equal(choose(zone), 'a-4');
});

test('without a daemon that is left, none is chosen', () => {
  assert.equal(choose([peer('a-1', 'a')], ['a-1']), undefined);
});
