/** Guards against limits that a single caller meets while it keeps to those of the configuration. */
import assert from 'node:assert/strict';
import type { IncomingMessage } from 'node:http';
import { afterEach, test } from 'node:test';
import { pause } from '../../../soak/pause.js';
import { chunks, smallHeaders, tinyChunks } from '../../../soak/wire-requests.js';
import { assertWithinLimits } from '../support/crowd.js';
import { answer, RealGateway, type SentRequest } from '../support/real-gateway.js';
import { chunkedHead, head, MODEL, type Target, WEB } from '../support/request-bytes.js';

const LIMITS = { maxOldSpaceMb: 64, memoryMb: 300 };
const CALLER_LIMITS = { headerTimeoutMs: 2_000, idleTimeoutMs: 3_000 };
const MAX_BODY_BYTES = 4_000_000;
const LARGE_CHUNK_BYTES = 40_000;
/** With their line ends 24,000 bytes, of the 32,768 that the configuration allows. */
const SMALL_HEADERS = 3_000;
const PAUSE_MS = 1_500;
const PIPELINED = 8;
const KEPT = 8;
const WAIT_MS = 60_000;
const LAST_CHUNK = '0\r\n\r\n';

let gateway: RealGateway | undefined;

afterEach(() => gateway?.stop());

async function startGateway(): Promise<RealGateway> {
  gateway = new RealGateway(LIMITS, CALLER_LIMITS);
  await gateway.start();
  return gateway;
}

async function assertServed(to: RealGateway, sent: SentRequest): Promise<void> {
  await to.waitUntil(() => sent.status !== undefined || sent.socket.destroyed, WAIT_MS);
  assertWithinLimits(to, LIMITS);
  assert.equal(sent.status, 200, sent.received.slice(0, 200));
}

/** How many bytes the server received of the last body. */
function countBodyBytes(to: RealGateway): () => number {
  let bytes = 0;
  to.serve = (request, response) => {
    bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
    });
    answer(request, response);
  };
  return () => bytes;
}

async function assertServesBody(target: Target, body: Buffer): Promise<void> {
  const to = await startGateway();
  const received = countBodyBytes(to);
  const sent = to.sendBytes(Buffer.concat([Buffer.from(chunkedHead(target)), body]));
  sent.write(Buffer.from(LAST_CHUNK));
  await assertServed(to, sent);
  assert.equal(received(), MAX_BODY_BYTES);
}

test('the largest body in chunks of one byte is served by a web route', async () => {
  await assertServesBody(WEB, tinyChunks(MAX_BODY_BYTES));
});

test('the largest body in chunks of one byte is served by a model route', async () => {
  await assertServesBody(MODEL, tinyChunks(MAX_BODY_BYTES));
});

test('the largest body in large chunks is served', async () => {
  await assertServesBody(WEB, chunks(MAX_BODY_BYTES / LARGE_CHUNK_BYTES, LARGE_CHUNK_BYTES));
});

test('each of many small headers arrives at the server', async () => {
  const to = await startGateway();
  const headers = { ...smallHeaders(SMALL_HEADERS), 'Content-Length': '0', 'X-Last': 'last' };
  let arrived: IncomingMessage | undefined;
  to.serve = (request, response) => {
    arrived = request;
    answer(request, response);
  };
  await assertServed(to, to.sendBytes(Buffer.from(head('POST', WEB, headers))));
  const missing = Object.keys(headers).filter((name) => {
    return arrived?.headers[name.toLowerCase()] === undefined;
  });
  assert.equal(missing.length, 0, `${missing.length} headers are missing at the server`);
});

test('a body that pauses for less than the idle time-out is served', async () => {
  const to = await startGateway();
  const body = 'x'.repeat(3);
  const headers = { 'Content-Length': String(body.length) };
  const sent = to.sendBytes(Buffer.from(head('POST', WEB, headers)));
  for (const byte of body) {
    await pause(PAUSE_MS);
    sent.write(Buffer.from(byte));
  }
  await assertServed(to, sent);
});

test('a few pipelined requests are answered in their order', async () => {
  const to = await startGateway();
  to.serve = (request, response) => {
    const stamp = { 'X-Attempt-Id': request.headers['x-attempt-id'], 'X-Response-Stamp': 's' };
    response.writeHead(200, stamp).end(`answer to ${request.url}`);
  };
  const paths = Array.from({ length: PIPELINED }, (_, index) => `/web/${index}`);
  const requests = paths.map((path) => head('GET', { path, headers: {} }, {}));
  const sent = to.sendBytes(Buffer.from(requests.join('')));
  const answered = () => sent.received.match(/answer to \S+?(?=\r|HTTP|$)/g) ?? [];
  await to.waitUntil(() => answered().length === PIPELINED || sent.socket.destroyed, WAIT_MS);
  assertWithinLimits(to, LIMITS);
  assert.deepEqual(
    answered(),
    paths.map((path) => `answer to ${path}`),
  );
});

test('requests on a kept connection are served one after the other', async () => {
  const to = await startGateway();
  const sent = to.sendBytes(Buffer.from(head('GET', WEB, {})));
  const answered = () => sent.received.split('HTTP/1.1 200').length - 1;
  for (let request = 1; request <= KEPT; request += 1) {
    await to.waitUntil(() => answered() === request || sent.socket.destroyed, WAIT_MS);
    assert.equal(answered(), request);
    if (request < KEPT) sent.write(Buffer.from(head('GET', WEB, {})));
  }
  assertWithinLimits(to, LIMITS);
});
