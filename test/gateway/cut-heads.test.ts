/** A server that stops in the middle of its answer's head and closes: its callers got an empty or short answer as whole. */

import assert from 'node:assert/strict';
import { once } from 'node:events';
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { BackendConnections } from '../../src/shell/gateway/backend-connections.js';
import { ampleMemory } from './support/ample-memory.js';
import { ManualTimers } from './support/manual-timers.js';

const BODY = 'id: 1\ndata: piece 1\n\n';
const OWN = 'HTTP/1.1 200 OK\r\nX-Attempt-Id: a-1\r\nX-Response-Stamp: s\r\n';
const KEPT = 'HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9\r\nContent-Length: 2\r\n\r\nok';
const LENGTH = `Content-Length: ${BODY.length}\r\n`;
const CHUNK = `${BODY.length.toString(16)}\r\n${BODY}\r\n`;
const WITH_LENGTH = `${OWN}${LENGTH}\r\n${BODY}`;
/** Whole answers, by what marks their end. */
const ANSWERS: Readonly<Record<string, string>> = {
  'a length': WITH_LENGTH,
  'a length, and a close': `${OWN}Connection: close\r\n${LENGTH}\r\n${BODY}`,
  'a length of 0': `${OWN}Content-Length: 0\r\n\r\n`,
  'a length, in HTTP/1.0': WITH_LENGTH.replace('1.1', '1.0'),
  chunks: `${OWN}Transfer-Encoding: chunked\r\n\r\n${CHUNK}0\r\n\r\n`,
  'chunks, and a close': `${OWN}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n${CHUNK}0\r\n\r\n`,
  'chunks and trailers': `${OWN}Transfer-Encoding: chunked\r\n\r\n${CHUNK}0\r\nX-Trailer: 1\r\n\r\n`,
  'a length, after an interim answer': `HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n${WITH_LENGTH}`,
  'its head, with status 204': `${OWN.replace('200', '204')}\r\n`,
};
const ENDINGS = ['closes', 'resets'] as const;
const MAX_BYTES = 1_000;
const NEVER = new AbortController().signal;

let server: Server;
let sockets: Socket[];
let connections: BackendConnections;
/** What the server sends to the requests of a connection, and how it ends the connection after the last one. */
let sent: readonly string[] = [];
let ending: (typeof ENDINGS)[number] = 'closes';

beforeEach(async () => {
  sockets = [];
  server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    const left = [...sent];
    socket.on('data', () => answer(socket, left));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  connections = new BackendConnections(new ManualTimers(), ampleMemory());
});

afterEach(() => {
  connections.close();
  for (const socket of sockets) socket.destroy();
  server.close();
});

function answer(socket: Socket, left: string[]): void {
  socket.write(left.shift() ?? '', 'latin1', () => {
    if (left.length > 0) return;
    if (ending === 'closes') socket.end();
    else setImmediate(() => socket.resetAndDestroy());
  });
}

/** The whole body of an answer; `broken` where there is none or it is not whole. */
async function call(): Promise<string> {
  const result = await connections.call({
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    method: 'GET',
    path: '/',
    headers: ['Host', 'x'],
    body: Buffer.alloc(0),
    mayKeepConnection: true,
    connectTimeoutMs: 200,
    signal: NEVER,
  });
  if (result.kind !== 'answered') return result.kind;
  const body = await result.answer.collect(MAX_BYTES);
  return body?.toString('latin1') ?? 'broken';
}

for (const [name, whole] of Object.entries(ANSWERS)) {
  // Guards against an answer that a close or a reset completes.
  test(`an answer that ends with ${name} and is cut at any byte is broken`, async () => {
    const body = whole.includes(BODY) ? BODY : '';
    for (ending of ENDINGS) {
      for (let end = 0; end < whole.length; end += 1) {
        sent = [whole.slice(0, end)];
        assert.equal(await call(), 'broken', `${end} ${ending}`);
      }
    }
    ending = 'closes';
    sent = [whole];
    assert.equal(await call(), body);
  });

  test(`an answer on a kept connection that ends with ${name} and is cut at any byte is broken`, async () => {
    for (ending of ENDINGS) {
      for (let end = 0; end < whole.length; end += 1) {
        sent = [KEPT, whole.slice(0, end)];
        assert.equal(await call(), 'ok');
        const opened = connections.openedTotal;
        assert.equal(await call(), 'broken', `${end} ${ending}`);
        assert.equal(connections.openedTotal, opened);
      }
    }
  });
}

// Guards against bytes after an answer that the next request on the connection gets as its own.
test('the beginning of an answer that no request waits for is no part of the next one', async () => {
  ending = 'closes';
  for (let end = 1; end <= WITH_LENGTH.length; end += 1) {
    const surplus = WITH_LENGTH.slice(0, end);
    sent = [`${KEPT}${surplus}`, WITH_LENGTH.slice(end)];
    assert.equal(await call(), 'ok');
    const next = await call();
    assert.ok(next === 'broken' || next === 'ok', `${end}: ${next}`);
    connections.close();
  }
});
