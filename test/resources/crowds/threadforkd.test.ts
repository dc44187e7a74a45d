/** Guards against a daemon that V8 or the system ends, as callers beyond its control send more than it has memory for. */
import assert from 'node:assert/strict';
import { afterEach, test } from 'node:test';
import { RealDaemon } from '../support/real-daemon.js';
import { tinyChunks } from '../support/tiny-chunks.js';

const MAX_OLD_SPACE_MB = 64;
const MEMORY_MB = 300;
const BYTES_PER_MEGABYTE = 1_048_576;
/** Those of the process without callers, and to spare. */
const OTHER_DESCRIPTORS = 200;
/** How long a crowd stays. */
const STAY_MS = 3_000;
const WAIT_MS = 30_000;
const CHUNK_BYTES = 65_536;
const HTTP_LIMITS = {
  maxBufferedBytes: 83_886_080,
  maxBodyBytes: 8_388_608,
  maxConnectionsPerBackend: 128,
};

const SMALL_HEADERS = Array.from({ length: 1_900 }, (_, index) => `${index.toString(36)}:1\r\n`);
const SMALL_HEADER_HEAD = `POST /orders/1 HTTP/1.1\r\nHost:a\r\n${SMALL_HEADERS.join('')}`;
const CHUNKED_HEAD = 'POST /orders/1 HTTP/1.1\r\nHost:a\r\nTransfer-Encoding: chunked\r\n\r\n';
const GET = 'GET /orders/1 HTTP/1.1\r\nHost:a\r\n\r\n';
const CHUNK = Buffer.from(`${CHUNK_BYTES.toString(16)}\r\n${'x'.repeat(CHUNK_BYTES)}\r\n`);

let daemon: RealDaemon | undefined;

afterEach(() => daemon?.stop());

async function startDaemon(): Promise<RealDaemon> {
  daemon = new RealDaemon();
  await daemon.start({ maxOldSpaceMb: MAX_OLD_SPACE_MB, http: HTTP_LIMITS });
  return daemon;
}

/** Lets a crowd of callers stay for a while; the process lives within its bounds, and serves once they have left. */
async function assertOutlives(count: number, arrive: (to: RealDaemon) => void): Promise<void> {
  const to = await startDaemon();
  for (let caller = 0; caller < count; caller += 1) arrive(to);
  const untilMs = performance.now() + STAY_MS;
  await to.waitUntil(async () => performance.now() > untilMs, WAIT_MS);
  assert.equal(to.end, undefined, to.output);
  assert.ok(to.peakBytes < MEMORY_MB * BYTES_PER_MEGABYTE, `${to.peakBytes} bytes`);
  assert.ok(to.descriptors < count + OTHER_DESCRIPTORS, `${to.descriptors} descriptors`);
  to.leave();
  await to.waitUntil(async () => (await to.request()) === 200, WAIT_MS);
  assert.equal(to.end, undefined, to.output);
  assert.ok(to.peakBytes < MEMORY_MB * BYTES_PER_MEGABYTE, `${to.peakBytes} bytes`);
}

test('callers with many small headers do not end a daemon', async () => {
  const request = `${SMALL_HEADER_HEAD}Content-Length: 2\r\n\r\n1`;
  await assertOutlives(500, (to) => to.connect(request));
});

test('callers with unfinished heads of many small headers do not end a daemon', async () => {
  await assertOutlives(1_500, (to) => to.connect(SMALL_HEADER_HEAD));
});

test('callers that send request after request without reading do not end a daemon', async () => {
  const requests = Buffer.from(GET.repeat(6_000));
  await assertOutlives(60, (to) => to.connect(requests));
});

test('callers whose bodies stop within chunks of one byte do not end a daemon', async () => {
  const body = tinyChunks(80_000);
  await assertOutlives(40, (to) => to.connect(CHUNKED_HEAD, body));
});

test('callers whose bodies stop within large chunks do not end a daemon', async () => {
  const chunks = Array.from({ length: 64 }, () => CHUNK);
  await assertOutlives(120, (to) => to.connect(CHUNKED_HEAD, ...chunks));
});

test('callers that do not read large answers do not end a daemon', async () => {
  await assertOutlives(100, (to) => {
    to.serve = (request, response) => {
      const isOfCrowd = request.method === 'GET';
      request.resume();
      response.end(isOfCrowd ? Buffer.alloc(4_000_000, 'x') : 'served');
    };
    to.connect(GET).pause();
  });
});

// All of them fit into the memory for bodies, and the one after them does not.
test('bodies that stop and hold the memory for bodies do not keep another caller out', async () => {
  const to = await startDaemon();
  const chunks = Array.from({ length: 64 }, () => CHUNK);
  for (let caller = 0; caller < 19; caller += 1) to.connect(CHUNKED_HEAD, ...chunks);
  const body = 'x'.repeat(5_242_880);
  await to.waitUntil(async () => (await to.request(body)) === 503, WAIT_MS);
  await to.waitUntil(async () => (await to.request(body)) === 200, WAIT_MS);
  assert.equal(to.end, undefined, to.output);
});
