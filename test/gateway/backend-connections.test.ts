/** Calls to backends: telling a request that may have run from one that was not sent. */

import assert from 'node:assert/strict';
import { once } from 'node:events';
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import {
  type BackendCall,
  BackendConnections,
} from '../../src/shell/gateway/backend-connections.js';
import { ampleMemory } from './support/ample-memory.js';
import { ManualTimers } from './support/manual-timers.js';

const ANSWER_WITHOUT_LENGTH = 'HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\npart';
const BODY_BEYOND_SOCKET_BUFFERS_BYTES = 64 * 1_024 * 1_024;

let server: Server;
let sockets: Socket[];
let connections: BackendConnections;
let timers: ManualTimers;

beforeEach(async () => {
  sockets = [];
  server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    server.emit('taken', socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  timers = new ManualTimers();
  connections = new BackendConnections(timers, ampleMemory());
});

afterEach(() => {
  connections.close();
  for (const socket of sockets) socket.destroy();
  server.close();
});

function call(
  port: number,
  signal = new AbortController().signal,
  mayKeepConnection = false,
  more: Partial<BackendCall> = {},
) {
  return connections.call({
    address: `127.0.0.1:${port}`,
    method: 'GET',
    path: '/',
    headers: ['Host', 'x'],
    body: Buffer.alloc(0),
    mayKeepConnection,
    connectTimeoutMs: 200,
    signal,
    ...more,
  });
}

function port(): number {
  return (server.address() as AddressInfo).port;
}

async function nextSocket(): Promise<Socket> {
  const [socket] = (await once(server, 'taken')) as [Socket];
  return socket;
}

test('a call on a refused connection is reported as not sent', async () => {
  const unused = port();
  server.close();
  await once(server, 'close');
  assert.equal((await call(unused)).kind, 'not-sent');
  server.listen(0, '127.0.0.1');
});

test('a call whose connection closes after the request was sent is reported as broken', async () => {
  const result = call(port());
  const socket = await nextSocket();
  socket.once('data', () => socket.destroy());
  assert.equal((await result).kind, 'broken');
});

test('an answer without a length is incomplete when its connection is reset', async () => {
  const result = call(port());
  const socket = await nextSocket();
  socket.write(ANSWER_WITHOUT_LENGTH);
  const answered = await result;
  assert.equal(answered.kind, 'answered');
  if (answered.kind !== 'answered') return;
  assert.equal(answered.answer.isCloseDelimited, true);
  const body = answered.answer.collect(100);
  const handle = Reflect.get(socket, '_handle') as { reset(done: () => void): void };
  handle.reset(() => socket.destroy());
  assert.equal(await body, undefined);
});

test('an answer without a length counts as complete when its connection is closed normally', async () => {
  const result = call(port());
  const socket = await nextSocket();
  socket.end(ANSWER_WITHOUT_LENGTH);
  const answered = await result;
  assert.equal(answered.kind, 'answered');
  if (answered.kind !== 'answered') return;
  assert.equal((await answered.answer.collect(100))?.toString(), 'part');
});

test("a connection is reused within the server's keep-alive time-out", async () => {
  const answerTo = async (head: string) => {
    const result = await call(port(), undefined, true);
    assert.equal(result.kind, 'answered');
    if (result.kind === 'answered') await result.answer.collect(100);
    return head;
  };
  const serve = (headers: string) => (socket: Socket) => {
    socket.on('data', () => socket.write(`HTTP/1.1 200 OK\r\n${headers}Content-Length: 0\r\n\r\n`));
  };
  server.on('taken', serve('Keep-Alive: timeout=9\r\n'));
  await answerTo('first');
  await answerTo('second');
  assert.equal(connections.openedTotal, 1);
});

test('an aborted call closes its connection', async () => {
  const ended = new AbortController();
  const result = call(port(), ended.signal);
  const socket = await nextSocket();
  const closed = once(socket, 'close');
  socket.resume();
  ended.abort();
  assert.notEqual((await result).kind, 'answered');
  await closed;
});

test('an aborted call that waits for a late answer resets its connection when the wait is over', async () => {
  const ended = new AbortController();
  const lateAnswer = { waitMs: () => 300, onAnswer: () => assert.fail('no answer was sent') };
  const result = call(port(), ended.signal, false, { lateAnswer });
  const socket = await nextSocket();
  const hadError = new Promise((resolve) => socket.once('close', resolve));
  await once(socket, 'data');
  ended.abort();
  assert.equal((await result).kind, 'broken');
  assert.equal(socket.destroyed, false);
  timers.advance(300);
  assert.equal(await hadError, true);
});

test('a call that is aborted before its request was sent completely waits for no answer, so that the rest is never sent', async () => {
  const ended = new AbortController();
  const lateAnswer = { waitMs: () => 300, onAnswer: () => assert.fail('no answer was sent') };
  const body = Buffer.alloc(BODY_BEYOND_SOCKET_BUFFERS_BYTES);
  const result = call(port(), ended.signal, false, { method: 'POST', body, lateAnswer });
  const socket = await nextSocket();
  socket.pause();
  await new Promise((resolve) => setImmediate(resolve));
  ended.abort();
  assert.equal((await result).kind, 'broken');
  const closed = once(socket, 'close');
  socket.resume();
  await closed;
  assert.ok(socket.bytesRead < body.length);
});

// Guards against a 502 for a request that no server can have run, as no descriptor was left for its connection.
test('a call whose connection the system fails to open at once was not sent', async () => {
  const result = await call(port(), undefined, false, { address: '255.255.255.255:9' });
  assert.equal(result.kind, 'not-sent');
});
