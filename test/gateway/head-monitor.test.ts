/** Guards against heads and trailers that are not complete, and hold memory that nothing counts. */

import assert from 'node:assert/strict';
import { once } from 'node:events';
import http, { type Server } from 'node:http';
import { type AddressInfo, connect, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { MemoryLedger } from '../../src/core/gateway/index.js';
import { HeadMonitor } from '../../src/shell/gateway/head-monitor.js';
import { feedInPieces } from '../../src/shell/gateway/parser-feed.js';
import { TurnBudget } from '../../src/shell/gateway/turn-budget.js';

const MEGABYTE = 1_048_576;
const MAX_HEADER_BYTES = 16_384;
/** On the wire, the longest head with its request line. */
const MAX_HEAD_BYTES = 3 * MAX_HEADER_BYTES;
/** Lines of eight bytes. */
const SHORT_HEADERS = 'abc:xy\r\n';
const HEAD = 'POST / HTTP/1.1\r\nHost: a\r\n';
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;

let server: Server;
let memory: MemoryLedger;
let callers: Socket[];
let refused: { readonly port: number | undefined; readonly reason: string }[];
let bodyBytes: number;
let ended: number;

beforeEach(async () => {
  callers = [];
  refused = [];
  bodyBytes = 0;
  ended = 0;
  memory = new MemoryLedger({ heapBytes: 8 * MEGABYTE, bufferBytes: MEGABYTE });
  const monitor = new HeadMonitor({
    memory,
    maxHeaderBytes: () => MAX_HEADER_BYTES,
    refuse: (socket, reason) => {
      refused.push({ port: socket.remotePort, reason });
      socket.destroy();
    },
  });
  server = http.createServer({ maxHeaderSize: 131_072 }, (request, response) => {
    monitor.recordRequest(request);
    const record = monitor.bodyRecorder(request);
    request.on('data', (chunk: Buffer) => {
      bodyBytes += chunk.length;
      record(chunk.length);
    });
    request.on('end', () => {
      ended += 1;
      response.end('served');
    });
  });
  server.maxHeadersCount = 0;
  const isReadingBody = monitor.isReadingBody.bind(monitor);
  const onPiece = monitor.recordPiece.bind(monitor);
  const budget = new TurnBudget({ nowMs: () => 0 });
  const feed = { isHeld: () => false, isReadingBody, onPiece, budget };
  server.on('connection', (socket: Socket) => {
    monitor.watch(socket);
    feedInPieces(socket, feed);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
});

afterEach(() => {
  for (const caller of callers) caller.destroy();
  server.closeAllConnections();
  server.close();
});

async function open(): Promise<Socket> {
  const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
  callers.push(caller);
  caller.on('error', () => undefined);
  await once(caller, 'connect');
  return caller;
}

async function until(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await new Promise((resolve) => setImmediate(resolve));
}

/** Lets the server read what was sent. */
async function turns(): Promise<void> {
  for (let turn = 0; turn < 50; turn += 1) await new Promise((resolve) => setImmediate(resolve));
}

test('a head that is not complete is accounted for, until it is complete', async () => {
  const caller = await open();
  caller.write(HEAD + SHORT_HEADERS.repeat(500));
  await until(() => memory.unfinishedHeadBytes >= 500 * 125);
  caller.write('\r\n');
  await until(() => ended === 1);
  await until(() => memory.unfinishedHeadBytes === 0);
});

test('a head that is not complete holds nothing once its caller has left', async () => {
  const caller = await open();
  caller.write(HEAD + SHORT_HEADERS);
  await until(() => memory.unfinishedHeadBytes > 0);
  caller.destroy();
  await until(() => memory.unfinishedHeadBytes === 0);
});

for (const [what, request] of [
  ['without a body', `${HEAD}\r\n`],
  ['with a body of a declared length', `${HEAD}Content-Length: 3000\r\n\r\n${'x'.repeat(3_000)}`],
  ['spelled with many spaces', `${HEAD}X-A:   1  \r\nContent-Length:    5\r\n\r\nsheet`],
  ['in chunks of one byte', `${CHUNKED}${'1\r\nx\r\n'.repeat(20_000)}0\r\n\r\n`],
  ['in large chunks', `${CHUNKED}${`10000\r\n${'x'.repeat(65_536)}\r\n`.repeat(8)}0\r\n\r\n`],
] as const) {
  test(`requests ${what} leave nothing accounted for as unfinished heads`, async () => {
    const caller = await open();
    caller.resume();
    for (let sent = 1; sent <= 5; sent += 1) {
      caller.write(request);
      await until(() => ended === sent);
      await turns();
      assert.equal(memory.unfinishedHeadBytes, 0);
    }
    assert.deepEqual(refused, []);
  });
}

test('the start of a head after a whole request is accounted for', async () => {
  const caller = await open();
  caller.write(`${HEAD}Content-Length: 1\r\n\r\nx${HEAD}${SHORT_HEADERS.repeat(200)}`);
  await until(() => memory.unfinishedHeadBytes >= 200 * 125);
});

for (const [when, begun] of [
  ['with the last chunk', `${CHUNKED}1\r\nx\r\n0\r\n${SHORT_HEADERS.repeat(500)}`],
  ['without a chunk before', `${CHUNKED}0\r\n${SHORT_HEADERS.repeat(500)}`],
] as const) {
  test(`trailers that are not complete are accounted for (${when})`, async () => {
    const caller = await open();
    caller.write(begun);
    await until(() => memory.unfinishedHeadBytes >= 500 * 125);
    caller.write('\r\n');
    await until(() => ended === 1);
    await until(() => memory.unfinishedHeadBytes === 0);
  });
}

test('a body that is arriving in any chunks is not taken for trailers', async () => {
  const caller = await open();
  caller.write(CHUNKED);
  let sentBytes = 0;
  for (const length of [1, 3_000, 17, 65_536, 40_000, 2]) {
    caller.write(`${length.toString(16)}\r\n${'x'.repeat(length)}\r\n`);
    sentBytes += length;
    await until(() => bodyBytes === sentBytes);
    await turns();
    assert.ok(memory.unfinishedHeadBytes <= 16 * 16, `${memory.unfinishedHeadBytes} bytes`);
  }
});

test('where heads take too much, the connection whose head began first is closed', async () => {
  const first = await open();
  const firstPort = first.localPort;
  first.write(HEAD);
  await until(() => memory.unfinishedHeadBytes > 0);
  let sent = 0;
  while (refused.length === 0) {
    const caller = await open();
    caller.write(HEAD + SHORT_HEADERS.repeat(1_000));
    sent += 1;
    await turns();
  }
  assert.ok(sent > 5, `${sent} heads`);
  assert.deepEqual(refused[0], { port: firstPort, reason: 'head-evicted' });
  assert.ok(memory.unfinishedHeadBytes <= 2 * MEGABYTE);
});

test('a head beyond the limit of headers is closed before it is complete', async () => {
  const caller = await open();
  caller.write(`${HEAD}X-Long: ${'x'.repeat(MAX_HEAD_BYTES + 10_000)}`);
  await until(() => refused.length > 0);
  assert.equal(refused[0]?.reason, 'head-too-large');
});

test('a head of the longest headers that comes in many pieces is served', async () => {
  const caller = await open();
  const head = `${HEAD}X-Long: ${'x'.repeat(MAX_HEADER_BYTES)}\r\n\r\n`;
  for (let start = 0; start < head.length; start += 1_000) {
    caller.write(head.slice(start, start + 1_000));
    await turns();
  }
  await until(() => ended === 1);
  assert.deepEqual(refused, []);
});
