/** Which configurations a daemon sends to others that are behind, beside those that the relay forwards. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PeerRoster } from '../../src/core/gateway/index.js';
import { ConfigurationGossip } from '../../src/shell/gateway/configuration-gossip.js';
import { decodePeerMessage } from '../../src/shell/gateway/peer-messages.js';
import { ManualTimers } from './support/manual-timers.js';

const VERSION = 23;
/** Daemons normally receive a change by themselves within this time. */
const GRACE_MS = 1_000;

function setUp() {
  const timers = new ManualTimers();
  const roster = new PeerRoster({ name: 'a', zone: 'z' });
  const place = { host: '127.0.0.1', port: 1, zone: 'z' };
  roster.replace(
    ['b', 'c'].map((name) => ({ name, ...place })),
    timers.nowMs(),
  );
  const told: { readonly to: readonly string[]; readonly bytes: Buffer }[] = [];
  const gossip = new ConfigurationGossip({
    zone: 'z',
    roster,
    timers,
    isRelay: () => false,
    configurationVersion: () => VERSION,
    applyConfiguration: () => true,
    send: (peers, bytes) => told.push({ to: peers.map(({ name }) => name), bytes }),
  });
  const forwardVersion = (version: number, revision: number) => {
    const value = { version };
    const encoded = Buffer.from(String(version));
    const rows = [{ kind: 'value', key: 'config', value, encoded }] as const;
    gossip.forward({ era: 1, after: revision - 1, revision, rows });
  };
  forwardVersion(VERSION, 5);
  // The copy that the store was restored from has an older version.
  forwardVersion(VERSION - 4, 6);
  return { timers, gossip, told };
}

// Otherwise a daemon that starts while the store has an older copy keeps the old version until the operator's next
// write.
test('a daemon that stays on an older configuration is sent the newer one, at most once in the grace time', () => {
  const { timers, gossip, told } = setUp();
  gossip.recordPeerVersion('b', VERSION - 4);
  assert.equal(told.length, 0, 'it may still receive the change by itself');
  timers.advance(GRACE_MS);
  gossip.recordPeerVersion('b', VERSION - 4);
  gossip.recordPeerVersion('b', VERSION - 4);
  assert.deepEqual(
    told.map(({ to }) => to),
    [['b']],
  );
  const message = decodePeerMessage(told[0]?.bytes ?? Buffer.alloc(0));
  assert.ok(message?.kind === 'configuration');
  assert.equal(message.change.encoded.toString(), String(VERSION));
  assert.deepEqual(
    [message.change.after, message.change.revision],
    [0, 0],
    'its revisions continue no watch',
  );
  timers.advance(GRACE_MS);
  gossip.recordPeerVersion('b', VERSION - 4);
  assert.equal(told.length, 2);
});

for (const version of [0, VERSION, VERSION + 1]) {
  test(`a daemon that reports version ${version} is sent nothing while ${VERSION} is in force`, () => {
    const { timers, gossip, told } = setUp();
    timers.advance(GRACE_MS);
    gossip.recordPeerVersion('b', version);
    assert.deepEqual(told, []);
  });
}
