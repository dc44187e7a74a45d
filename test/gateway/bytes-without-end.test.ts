/** Bytes without end before, in or after an answer, or in one event: they were read until the peer stopped. */

import assert from 'node:assert/strict';
import { once } from 'node:events';
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { ServiceConnection } from '../../platform/http-call.js';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { ANSWER_READING } from '../../src/shell/bytes/index.js';
import {
  type BackendCall,
  BackendConnections,
} from '../../src/shell/gateway/backend-connections.js';
import { ampleMemory } from './support/ample-memory.js';
import {
  configuration,
  GatewayFixture,
  RESUMABLE_ROUTE,
  route,
  SHORT_REQUEST,
} from './support/fixture.js';
import { ManualTimers } from './support/manual-timers.js';
import { type ServedRequest, stamped } from './support/server-stand-in.js';

const CHUNK = Buffer.alloc(65_536, 'x');
/** Bytes that may be on their way when a connection is closed. */
const MAX_READ_BYTES = 64 * 1_024 * 1_024;
const HEAD = 'HTTP/1.1 200 OK\r\n';

let server: Server;
let fixture: GatewayFixture;
let timers: ManualTimers;
let connections: BackendConnections;

beforeEach(async () => {
  fixture = new GatewayFixture();
  timers = new ManualTimers();
  connections = new BackendConnections(timers, ampleMemory());
  server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
});

afterEach(() => {
  fixture.stop();
  connections.close();
  server.close();
});

/** Writes until the peer closes the connection; resolves to the bytes that it took. */
async function writeWithoutEnd(socket: Socket, chunk = CHUNK): Promise<number> {
  socket.on('error', () => undefined);
  const closed = new Promise((resolve) => socket.once('close', resolve));
  const write = () => {
    while (!socket.destroyed && socket.bytesWritten < MAX_READ_BYTES) {
      if (!socket.write(chunk)) return;
    }
    socket.destroy();
  };
  socket.on('drain', write);
  write();
  await closed;
  return socket.bytesWritten;
}

/** What a server that answers with `head` and then bytes without end got rid of. */
async function bytesTaken(head: string, chunk = CHUNK): Promise<number> {
  const [socket] = (await once(server, 'connection')) as [Socket];
  await once(socket, 'data');
  socket.write(head);
  return writeWithoutEnd(socket, chunk);
}

function call(fields: Partial<BackendCall> = {}) {
  const { port } = server.address() as AddressInfo;
  return connections.call({
    address: `127.0.0.1:${port}`,
    method: 'GET',
    path: '/',
    headers: [],
    body: Buffer.alloc(0),
    mayKeepConnection: true,
    connectTimeoutMs: 200,
    signal: new AbortController().signal,
    ...fields,
  });
}

function callStore(store = connectStore()) {
  const request = { method: 'GET', path: '/rows-get', headers: {}, body: undefined };
  return store.call(request, new AbortController().signal);
}

function connectStore(): ServiceConnection {
  const { port } = server.address() as AddressInfo;
  return new ServiceConnection({ host: '127.0.0.1', port }, ANSWER_READING);
}

function assertClosedEarly(bytes: number): void {
  assert.ok(bytes < MAX_READ_BYTES, `${bytes} bytes`);
}

test('the body of an answer that is not needed is read to a bound, and its connection closed', async () => {
  const taken = bytesTaken(`${HEAD}Transfer-Encoding: chunked\r\n\r\nfffffff\r\n`);
  const result = await call();
  assert.ok(result.kind === 'answered');
  result.answer.discard();
  assertClosedEarly(await taken);
});

test('the body of an answer that is not needed and comes slowly is given up after a time', async () => {
  const arrived = once(server, 'connection');
  const answered = call();
  const [socket] = (await arrived) as [Socket];
  socket.on('error', () => undefined);
  socket.write(`${HEAD}Content-Length: 1000\r\n\r\nx`);
  const result = await answered;
  assert.ok(result.kind === 'answered');
  result.answer.discard();
  timers.advance(2_000);
  socket.resume();
  await once(socket, 'close');
});

test('a short answer that is not needed leaves its connection open for the next call', async () => {
  const sockets: Socket[] = [];
  server.on('connection', (socket: Socket) => {
    sockets.push(socket);
    socket.on('data', () =>
      socket.write(`${HEAD}Keep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok`),
    );
  });
  for (let count = 0; count < 2; count += 1) {
    const result = await call();
    assert.ok(result.kind === 'answered');
    const ended = once(result.answer.message, 'close');
    result.answer.discard();
    await ended;
    timers.advance(2_000);
    await new Promise(setImmediate);
  }
  assert.equal(sockets.length, 1);
  for (const socket of sockets) socket.destroy();
});

test('trailers without end are given up', async () => {
  const taken = bytesTaken(
    `${HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\n`,
    Buffer.from('A: b\r\n'),
  );
  const result = await call();
  assert.ok(result.kind === 'answered');
  assert.equal(await result.answer.collect(1_000), undefined);
  assertClosedEarly(await taken);
});

test('an answer that is given up as too long leaves nothing reserved for its request', async () => {
  const taken = bytesTaken(`${HEAD}Transfer-Encoding: chunked\r\n\r\nfffffff\r\n`);
  const memory = ampleMemory();
  const request = memory.reserve({ count: 1, bytes: 10 });
  const result = await call();
  assert.ok(result.kind === 'answered');
  assert.equal(await result.answer.collect(1_000_000, request), undefined);
  assertClosedEarly(await taken);
  assert.equal(memory.reserved.bufferBytes, 0);
});

test('an answer without end of the store fails the call, and its connection is closed', async () => {
  const taken = bytesTaken(`${HEAD}Transfer-Encoding: chunked\r\n\r\nfffffff\r\n`);
  const result = await callStore();
  assert.deepEqual(result.kind, 'failed');
  assertClosedEarly(await taken);
});

test('bytes without end on an idle connection of the store close it', async () => {
  const arrived = once(server, 'connection');
  const called = callStore();
  const [socket] = (await arrived) as [Socket];
  await once(socket, 'data');
  socket.write(`${HEAD}Content-Length: 2\r\n\r\nok`);
  assert.equal((await called).kind, 'answered');
  await new Promise(setImmediate);
  assertClosedEarly(await writeWithoutEnd(socket));
});

/** What a faulty server may send in place of the head of an answer. */
const NO_HEADS = {
  'interim answers': 'HTTP/1.1 103 Early Hints\r\n\r\n',
  'empty lines': '\r\n',
} as const;

for (const [name, text] of Object.entries(NO_HEADS)) {
  const chunk = Buffer.from(text.repeat(1_024));

  test(`a call that gets ${name} without end is given up`, async () => {
    const taken = bytesTaken('', chunk);
    const result = await call();
    assert.equal(result.kind, 'broken');
    assertClosedEarly(await taken);
  });

  test(`a call that gets ${name} without end in the place of a late answer is given up`, async () => {
    const leaving = new AbortController();
    const arrived = once(server, 'connection');
    const given = call({
      signal: leaving.signal,
      lateAnswer: { waitMs: () => 60_000, onAnswer: () => assert.fail('there is no answer') },
    });
    const [socket] = (await arrived) as [Socket];
    await once(socket, 'data');
    leaving.abort();
    assert.equal((await given).kind, 'broken');
    assertClosedEarly(await writeWithoutEnd(socket, chunk));
  });

  test(`a call to the store that gets ${name} without end fails`, async () => {
    const taken = bytesTaken('', chunk);
    const result = await callStore();
    assert.equal(result.kind, 'failed');
    assertClosedEarly(await taken);
  });
}

test('an answer behind interim answers and empty lines is taken, on a kept connection too', async () => {
  const sockets: Socket[] = [];
  const interim = NO_HEADS['interim answers'].repeat(100);
  const answer = `${HEAD}Keep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok`;
  server.on('connection', (socket: Socket) => {
    sockets.push(socket);
    socket.on('data', () => socket.write(`\r\n${interim}\r\n${answer}`));
  });
  const store = connectStore();
  for (let count = 0; count < 50; count += 1) {
    const result = await call();
    assert.ok(result.kind === 'answered');
    assert.equal(String(await result.answer.collect(2)), 'ok');
    assert.equal((await callStore(store)).kind, 'answered');
  }
  assert.equal(sockets.length, 2);
  for (const socket of sockets) socket.destroy();
});

test('an answer whose body arrives with its head is taken, however long it is', async () => {
  const body = 'x'.repeat(1_048_576);
  server.on('connection', (socket: Socket) => {
    socket.on('data', () => socket.write(`${HEAD}Content-Length: ${body.length}\r\n\r\n${body}`));
  });
  const result = await call();
  assert.ok(result.kind === 'answered');
  assert.equal((await result.answer.collect(body.length))?.length, body.length);
});

async function startWith(script: (served: ServedRequest) => void): Promise<void> {
  await fixture.start();
  const slip = route({ name: 'slip', pathPrefix: '/slip/', kind: 'non_idempotent' });
  fixture.store.putConfiguration(configuration(1, [RESUMABLE_ROUTE, slip]));
  await fixture.logged(GATEWAY_EVENTS.configurationInForce);
  const engine = { service: 'reader', stage: 'decode' };
  await fixture.addServer('engine', script, engine);
  await fixture.addServer('web', script);
  for (const id of ['engine', 'web']) {
    await fixture.logged(GATEWAY_EVENTS.serverAdded, (fields) => fields.server === id);
  }
}

test('an event without end is given up, and its request is not told as answered', async () => {
  let taken: Promise<number> | undefined;
  await startWith(({ seen, socket }) => {
    if (seen.method !== 'POST') return socket.destroy();
    const headers = Object.entries({ ...stamped(seen), 'Content-Type': 'text/event-stream' });
    const lines = headers.map(([name, value]) => `${name}: ${value}\r\n`);
    socket.write(`${HEAD}${lines.join('')}\r\nid: 1\ndata: `);
    taken ??= writeWithoutEnd(socket);
  });
  const answer = await fixture.call(SHORT_REQUEST);
  assert.equal(answer.status, 502);
  assertClosedEarly((await taken) ?? MAX_READ_BYTES);
});

test('the body without end of a rejection is given up, and the request is refused as not run', async () => {
  let taken: Promise<number> | undefined;
  await startWith(({ seen, socket }) => {
    const id = String(seen.headers['x-attempt-id']);
    const head = `HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Attempt-Id: ${id}\r\n\r\n`;
    socket.write(head);
    taken ??= writeWithoutEnd(socket);
  });
  const answer = await fixture.call({ path: '/slip/1' });
  assert.equal(answer.status, 503);
  assertClosedEarly((await taken) ?? MAX_READ_BYTES);
});
