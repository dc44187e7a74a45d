/**
 * An entry of the list of servers whose address no connection or header can carry ended each daemon that read it, again at
 * each start until the entry was gone.
 */

import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { decodeServer } from '../../platform/configuration-codec.js';
import { TABLES } from '../../platform/names.js';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import type { LogFields } from '../../src/core/logging/log-event.js';
import { BackendConnections } from '../../src/shell/gateway/backend-connections.js';
import { decodePeerMessage, encodePeerMessage } from '../../src/shell/gateway/peer-messages.js';
import { SYSTEM_TIMERS } from '../../src/shell/gateway/timer-service.js';
import { usableRow } from '../../src/shell/gateway/usable-row.js';
import { ampleMemory } from './support/ample-memory.js';
import { configuration, GatewayFixture, READ_ROUTE, route } from './support/fixture.js';
import { answering } from './support/server-stand-in.js';

/** Addresses by what is wrong with them; the first one is what a byte that is no UTF-8 decodes to. */
const UNUSABLE_ADDRESSES = {
  'a byte that is no UTF-8': '127.0.\ufffd.1:9',
  'a control character': '127.0.0.1\u0001:9',
  'a character beyond latin1': '127.0.0.\u0159:9',
  'a port above 65,535': '127.0.0.1:70000',
  'port 0': '127.0.0.1:0',
  'a path': '127.0.0.1/x:9',
  'a user': 'user@127.0.0.1:9',
  'no host': ':9',
} as const;

/** Keys of rows that the daemons themselves write, and rows that no daemon can connect to or read. */
const UNUSABLE_ROWS: readonly (readonly [string, Buffer])[] = [
  ['peer/other', Buffer.from('not JSON')],
  ['peer/other', Buffer.from('{"host":"127.0.0.1","port":70000,"zone":"a","forwardPort":70000}')],
  ['peer/other', Buffer.from('{"host":"127.0.0.\u0159","port":9,"zone":"a","forwardPort":9}')],
  ['crash/abc', Buffer.from([0xff, 0xfe])],
  [
    'peer/other',
    Buffer.from(JSON.stringify({ host: '127.0.0.1', port: 9, zone: 'z'.repeat(60_000) })),
  ],
  ['peer/other', Buffer.from('['.repeat(32_768) + ']'.repeat(32_768))],
  ['peer/other', Buffer.from('{"host":"127.0.0.1","port":1e400,"zone":"a","forwardPort":9}')],
  [
    'crash/abc',
    Buffer.from(JSON.stringify({ serverIds: Array(1_000).fill('i-1'), clearings: 1, unixMs: 1 })),
  ],
  ['crash/abc', Buffer.from('{"serverIds":[],"clearings":1e400,"unixMs":1}')],
];
const SECRET_ROW = /^\{"key":"[A-Za-z0-9+/]{43}="\}$/;
const MAX_TITLE_LENGTH = 80;
/** Ends a test whose awaited log line never comes. */
const MAX_TEST_MS = 10_000;

const ROW = { service: 'viewer', zone: 'a', slots: 6, state: 'ready', sequence: 1 };
const MODEL_ROW = { ...ROW, service: 'reader', stage: 'decode' };

let fixture: GatewayFixture;

beforeEach(() => {
  fixture = new GatewayFixture();
});

afterEach(() => fixture.stop());

for (const [problem, address] of Object.entries(UNUSABLE_ADDRESSES)) {
  // Guards against the end of the daemon, by an unhandled rejection of the first call to the entry's address.
  test(`an entry whose address has ${problem} names no server, and the others are used`, async () => {
    await fixture.start();
    fixture.store.putConfiguration(configuration(1, [route({}), READ_ROUTE]));
    await fixture.addServer('i-1', answering(200, 'served'));
    fixture.store.put(TABLES.servers, 'i-2', { ...ROW, address });
    fixture.store.put(TABLES.servers, 'i-3', { ...MODEL_ROW, address });
    for (const id of ['i-2', 'i-3']) {
      await fixture.logged(GATEWAY_EVENTS.serverMalformed, ({ server }) => server === id);
    }
    for (let sent = 0; sent < 4; sent += 1) {
      assert.equal((await fixture.call({ path: '/tiles/1' })).body, 'served');
    }
  });

  // Guards against a daemon of another version, which may accept the entry and forward it to this one.
  test(`a row of another daemon whose address has ${problem} names no server`, () => {
    const value = { ...decodeServer('i-2', { ...ROW, address: '127.0.0.1:9' }), address };
    const rows = [{ kind: 'value', key: 'i-2', value }] as const;
    const changes = { era: 0, after: 1, revision: 2, rows };
    const message = decodePeerMessage(encodePeerMessage({ kind: 'servers', zone: 'a', changes }));
    assert.equal(message?.kind, 'servers');
    assert.deepEqual(
      message.changes.rows.map(usableRow).map(({ kind }) => kind),
      ['malformed'],
    );
  });

  // Guards against an exception on the way to the narrowest place, past all checks of what is decoded.
  test(`a call to an address with ${problem} is not sent`, async () => {
    const connections = new BackendConnections(SYSTEM_TIMERS, ampleMemory());
    const result = await connections.call({
      address,
      method: 'GET',
      path: '/',
      headers: [],
      body: Buffer.alloc(0),
      mayKeepConnection: true,
      connectTimeoutMs: 300,
      signal: AbortSignal.timeout(2_000),
    });
    assert.equal(result.kind, 'not-sent');
    assert.notEqual(await connections.tryConnect(address), 'accepted');
    connections.close();
  });
}

/** Longer than a datagram between daemons has room for. */
const LONG_NAME = 'n'.repeat(300);

for (const field of ['service', 'zone']) {
  // Guards against messages between daemons that are too long to be sent because one entry has a long name.
  test(`an entry whose ${field} has a name of ${LONG_NAME.length} characters names no server`, () => {
    const named = { ...ROW, address: '127.0.0.1:9', [field]: LONG_NAME };
    assert.throws(() => decodeServer('i-2', named), /Too big/);
    const value = {
      ...decodeServer('i-2', { ...ROW, address: '127.0.0.1:9' }),
      [field]: LONG_NAME,
    };
    assert.equal(usableRow({ kind: 'value', key: 'i-2', value }).kind, 'malformed');
  });
}

for (const [key, value] of UNUSABLE_ROWS) {
  // Guards against the end of the daemon by an unhandled rejection of the scan that reads the row.
  test(`a row ${key} with ${value.toString('latin1').slice(0, MAX_TITLE_LENGTH)} is passed over`, async () => {
    fixture.store.putBytes(TABLES.product, key, value);
    await fixture.addDaemon('front-2');
    fixture.store.putConfiguration(configuration(1, [route({})]));
    await fixture.logged(GATEWAY_EVENTS.configurationInForce);
    const event = key.startsWith('peer/')
      ? GATEWAY_EVENTS.peerMalformed
      : GATEWAY_EVENTS.crashRowMalformed;
    await fixture.logged(event);
  });
}

for (const value of ['not JSON', '[]', '{"key":5}', '{"key":""}']) {
  // Guards against a fleet that never knows which requests crash servers, and calls the store twice a second for it.
  test(`a secret for fingerprints that is ${value} is replaced`, {
    timeout: MAX_TEST_MS,
  }, async () => {
    fixture.store.putBytes(TABLES.product, 'crash/!key', Buffer.from(value));
    await fixture.addDaemon('front-2');
    await fixture.logged(GATEWAY_EVENTS.crashRowMalformed, ({ subject }) => subject === '!key');
    assert.match(JSON.stringify(fixture.store.read(TABLES.product, 'crash/!key')), SECRET_ROW);
  });
}

for (const version of ['1e300', '2.5', '1e400', '"2"']) {
  // Guards against a version that no later one exceeds: all later configurations would count as older.
  test(`a configuration of version ${version} is not taken, and the next one is`, {
    timeout: MAX_TEST_MS,
  }, async () => {
    await fixture.start();
    fixture.store.putConfiguration(configuration(1, [route({})]));
    await fixture.logged(GATEWAY_EVENTS.configurationInForce);
    const odd = JSON.stringify(configuration(2, [])).replace('"version":2', `"version":${version}`);
    fixture.store.putBytes(TABLES.operator, TABLES.configurationKey, Buffer.from(odd));
    await fixture.logged(GATEWAY_EVENTS.configurationMalformed);
    fixture.store.putConfiguration(configuration(3, [route({})]));
    const isThird = ({ configurationVersion }: LogFields) => configurationVersion === 3;
    await fixture.logged(GATEWAY_EVENTS.configurationInForce, isThird);
  });
}
