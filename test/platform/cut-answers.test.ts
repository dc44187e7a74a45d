/** Answers of the platform and of engines that are cut at any byte: none may pass for an empty list or a success. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { performObjectCall } from '../../src/daemon/object-calls.js';
import {
  createEngineControlClient,
  type EngineControlClient,
} from '../../src/shell/engine/index.js';
import { createPlatformClient, type PlatformClient } from '../../src/shell/platform/index.js';
import { orderOf, TO_DECODE } from '../engine/fixtures.js';

const TIMEOUT_MS = 5_000;
const HEAD = 'HTTP/1.1 200 OK\r\nconnection: close\r\n';
const ENDINGS = ['closes', 'resets'] as const;

/** How an answer marks its end. */
const FRAMINGS = {
  'a length': (body: string) => `${HEAD}content-length: ${body.length}\r\n\r\n${body}`,
  chunks: (body: string) =>
    `${HEAD}transfer-encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
  'a close': (body: string) => `${HEAD}\r\n${body}`,
} as const;

let server: Server;
let sockets: Socket[];
let sent = '';
let ending: (typeof ENDINGS)[number] = 'closes';
let platform: PlatformClient;
let engines: EngineControlClient;

beforeEach(async () => {
  sockets = [];
  server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => cut(socket));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  platform = createPlatformClient({ ...endpoint(), timeoutMs: TIMEOUT_MS });
  engines = createEngineControlClient({ timeoutMs: TIMEOUT_MS });
});

afterEach(async () => {
  await Promise.all([platform.close(), engines.close()]);
  for (const socket of sockets) socket.destroy();
  server.close();
});

function endpoint() {
  return { address: '127.0.0.1', port: (server.address() as AddressInfo).port };
}

function cut(socket: Socket): void {
  socket.write(sent, 'latin1', () => {
    if (ending === 'closes') socket.end();
    else setImmediate(() => socket.resetAndDestroy());
  });
}

const ROWS = JSON.stringify({ rows: [{ key: 'a', version: 1, value: 1 }] });
const COMMITTED = JSON.stringify({ committed: true, rows: [] });
const MACHINES = JSON.stringify({ ageMs: 1, machines: [] });
const ACCEPTED = JSON.stringify({ kind: 'accepted', state: 'done' });

/** Calls with the body of their answer; each returns what it makes of it. */
const CALLS: Readonly<Record<string, readonly [body: string, call: () => Promise<string>]>> = {
  'a row': [ROWS, async () => (await platform.table({ kind: 'get', keys: ['a'] })).kind],
  'a write': [
    COMMITTED,
    async () => (await platform.table({ kind: 'transact', checks: [], writes: [] })).kind,
  ],
  'the machine list': [
    MACHINES,
    async () => ((await platform.machines()).isOk() ? 'machines' : 'lost'),
  ],
  'an object': [
    '{"routes":[]}',
    async () => (await performObjectCall(platform, { kind: 'get', name: 'o' })).kind,
  ],
  'an order': [
    ACCEPTED,
    async () => (await engines.order(endpoint(), orderOf('b', 1, TO_DECODE))).kind,
  ],
};

for (const [name, [body, call]] of Object.entries(CALLS)) {
  for (const [framing, frame] of Object.entries(FRAMINGS)) {
    // Guards against a list that looks empty and a write or an order that looks done.
    test(`the answer to ${name} that ends with ${framing} and is cut at any byte is lost`, async () => {
      const whole = frame(body);
      for (ending of ENDINGS) {
        for (let end = 0; end < whole.length; end += 1) {
          sent = whole.slice(0, end);
          assert.equal(await call(), 'lost', `${end} ${ending}`);
        }
      }
      ending = 'closes';
      sent = whole;
      assert.notEqual(await call(), 'lost');
    });
  }
}
