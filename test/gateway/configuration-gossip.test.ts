/** Which configurations a daemon tells others, beside those that its relay passes on. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PeerRoster } from '../../src/core/gateway/index.js';
import { ConfigurationGossip } from '../../src/shell/gateway/configuration-gossip.js';
import { decodePeerMessage } from '../../src/shell/gateway/peer-messages.js';
import { ManualTimers } from './support/manual-timers.js';

const VERSION = 23;
/** Others hear of a change by themselves within this time. */
const SETTLED_MS = 1_000;

function setUp() {
  const timers = new ManualTimers();
  const roster = new PeerRoster({ name: 'a', zone: 'z' });
  const place = { host: '127.0.0.1', port: 1, zone: 'z' };
  roster.replace(
    ['b', 'c'].map((name) => ({ name, ...place })),
    timers.nowMs(),
  );
  const told: { readonly to: readonly string[]; readonly bytes: Buffer }[] = [];
  const teller = new ConfigurationGossip({
    zone: 'z',
    roster,
    timers,
    isRelay: () => false,
    configurationVersion: () => VERSION,
    applyConfiguration: () => true,
    send: (peers, bytes) => told.push({ to: peers.map(({ name }) => name), bytes }),
  });
  const tell = (version: number, revision: number) => {
    const value = { version };
    const encoded = Buffer.from(String(version));
    const rows = [{ kind: 'value', key: 'config', value, encoded }] as const;
    teller.forward({ era: 1, after: revision - 1, revision, rows });
  };
  tell(VERSION, 5);
  // The copy that the store came back from has an older one.
  tell(VERSION - 4, 6);
  return { timers, teller, told };
}

// A daemon that started while the store had only an older copy stayed with that until the operator wrote again.
test('a daemon that goes on with an older configuration is told the newer one, once in a while', () => {
  const { timers, teller, told } = setUp();
  teller.recordPeerVersion('b', VERSION - 4);
  assert.equal(told.length, 0, 'it hears of a change by itself');
  timers.advance(SETTLED_MS);
  teller.recordPeerVersion('b', VERSION - 4);
  teller.recordPeerVersion('b', VERSION - 4);
  assert.deepEqual(
    told.map(({ to }) => to),
    [['b']],
  );
  const message = decodePeerMessage(told[0]?.bytes ?? Buffer.alloc(0));
  assert.ok(message?.kind === 'configuration');
  assert.equal(message.change.encoded.toString(), String(VERSION));
  assert.deepEqual([message.change.after, message.change.revision], [0, 0], 'it joins no watch');
  timers.advance(SETTLED_MS);
  teller.recordPeerVersion('b', VERSION - 4);
  assert.equal(told.length, 2);
});

for (const version of [0, VERSION, VERSION + 1]) {
  test(`a daemon that says version ${version} of ${VERSION} is told nothing`, () => {
    const { timers, teller, told } = setUp();
    timers.advance(SETTLED_MS);
    teller.recordPeerVersion('b', version);
    assert.deepEqual(told, []);
  });
}
