/** Guards against bodies of callers that take more memory than they are counted with. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import http, { type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo, connect, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { MemoryLedger } from '../../src/core/gateway/index.js';
import { BodyReader, type BodyReading } from '../../src/shell/gateway/body-reader.js';
import { headerSizeOf } from '../../src/shell/gateway/request-head.js';
import { StalledBodies } from '../../src/shell/gateway/stalled-bodies.js';
import { ManualTimers } from './support/manual-timers.js';

const MEGABYTE = 1_048_576;
const MAX_BODY_BYTES = 4_000_000;
const CHUNKED_HEAD = 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';

/** A body without progress for this long is evicted. */
const STALL_MS = 1_000;

let timers: ManualTimers;
let stalled: StalledBodies;
let server: Server;
let memory: MemoryLedger;
let reader: BodyReader;
let caller: Socket;
let readings: BodyReading[];

beforeEach(async () => {
  memory = new MemoryLedger({ heapBytes: 10 * MEGABYTE, bufferBytes: 10 * MEGABYTE });
  timers = new ManualTimers();
  stalled = new StalledBodies({ timers, idleTimeoutMs: () => Number.POSITIVE_INFINITY });
  reader = new BodyReader(stalled);
  readings = [];
  server = http.createServer((request, response) => void read(request, response));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
});

afterEach(() => {
  caller.destroy();
  server.closeAllConnections();
  server.close();
});

async function read(request: IncomingMessage, response: ServerResponse): Promise<void> {
  const reserved = stalled.makeRoom(() => memory.reserve(headerSizeOf(request)));
  assert.ok(reserved !== undefined);
  response.once('close', () => reserved.release());
  const onPiece = () => undefined;
  readings.push(
    await reader.read({ request, response, memory: reserved, onPiece }, MAX_BODY_BYTES),
  );
  server.emit('reading');
}

async function nextReading(): Promise<BodyReading> {
  if (readings.length === 0) await once(server, 'reading');
  const reading = readings.shift();
  assert.ok(reading !== undefined);
  return reading;
}

test('a body of the largest size in chunks of one byte is read, and held in few objects meanwhile', async () => {
  const chunks = Buffer.from('1\r\nx\r\n'.repeat(MAX_BODY_BYTES));
  caller.write(CHUNKED_HEAD);
  caller.write(chunks);
  while (reader.held.bytes < MAX_BODY_BYTES) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  assert.ok(reader.held.objects < 100, `${reader.held.objects} objects`);
  assert.equal(memory.reserved.bufferBytes, reader.held.bytes);
  caller.write('0\r\n\r\n');
  const reading = await nextReading();
  assert.equal(reading.kind, 'read');
  if (reading.kind === 'read') assert.equal(reading.body.length, MAX_BODY_BYTES);
  assert.equal(memory.reserved.bufferBytes, MAX_BODY_BYTES);
});

test('a short body in chunks of one byte is accounted for with the memory that holds it', async () => {
  caller.write(CHUNKED_HEAD);
  caller.write('1\r\nx\r\n'.repeat(3));
  caller.write('0\r\n\r\n');
  const reading = await nextReading();
  assert.equal(reading.kind === 'read' && reading.body.toString(), 'xxx');
  assert.ok(reader.held.bytes >= 3);
  assert.equal(memory.reserved.bufferBytes, reader.held.bytes);
});

test('a body that its caller leaves holds nothing more', async () => {
  caller.write(CHUNKED_HEAD);
  caller.write('1\r\nx\r\n'.repeat(1_000));
  while (reader.held.bytes === 0) await new Promise((resolve) => setImmediate(resolve));
  caller.destroy();
  assert.equal((await nextReading()).kind, 'broken');
  while (memory.reserved.heapBytes > 0) await new Promise((resolve) => setImmediate(resolve));
  assert.deepEqual([reader.held.bytes, reader.held.objects], [0, 0]);
  assert.equal(memory.reserved.bufferBytes, 0);
});

test('a body that has stalled is evicted for one that goes on, and its memory is free at once', async () => {
  const idle = connect((server.address() as AddressInfo).port, '127.0.0.1');
  idle.write(CHUNKED_HEAD);
  idle.write('5\r\nstall\r\n');
  while (reader.held.bytes === 0) await new Promise((resolve) => setImmediate(resolve));
  timers.advance(STALL_MS);
  const filling = memory.reserve({ count: 10, bytes: 500 });
  assert.equal(filling?.grow(10 * MEGABYTE - memory.reserved.bufferBytes), true);
  caller.write(CHUNKED_HEAD);
  caller.write('1\r\nx\r\n0\r\n\r\n');
  const readings = [await nextReading(), await nextReading()];
  assert.deepEqual(
    readings.map(({ kind }) => kind),
    ['evicted', 'read'],
  );
  idle.destroy();
});

test('where no body has stalled, the one that asks for memory is rejected', async () => {
  const filling = memory.reserve({ count: 10, bytes: 500 });
  assert.equal(filling?.grow(10 * MEGABYTE), true);
  caller.write(CHUNKED_HEAD);
  caller.write('1\r\nx\r\n0\r\n\r\n');
  assert.equal((await nextReading()).kind, 'no-memory');
});
