/** Guards against a process that V8 ends as requests with few bytes are many objects in its heap. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect } from 'node:net';
import { type TestContext, test } from 'node:test';
import { DEFAULT_HTTP_LIMITS, type HttpLimits } from '../../src/shell/http/index.js';
import { connectionLimit, requestHeapLimit } from '../../src/shell/http/request-memory.js';
import { call, type Harness, rawCall, startHarness, startHttpBackend } from './support.js';

const MEGABYTE = 1_048_576;
/** Room for one request with few headers, and not for two. */
const ONE_REQUEST_BYTES = 30_000;

/** A daemon whose backend answers `/sheets/held` only once it is told to. */
async function start(
  context: TestContext,
  limits: Partial<HttpLimits>,
): Promise<{
  readonly harness: Harness;
  readonly answerHeld: () => void;
  readonly isHeld: () => boolean;
}> {
  const held: (() => void)[] = [];
  const backend = await startHttpBackend('web', (request, response) => {
    request.resume();
    if (request.url === '/sheets/held') held.push(() => response.end('served'));
    else response.end('served');
  });
  const harness = await startHarness({ backends: [backend], limits, anonymous: true });
  context.after(async () => {
    await harness.close();
    await backend.close();
  });
  const answerHeld = (): void => {
    for (const answer of held.splice(0)) answer();
  };
  return { harness, answerHeld, isHeld: () => held.length > 0 };
}

test('a request for which there is no heap is refused as not run, and served once there is', async (t) => {
  const { harness, answerHeld, isHeld } = await start(t, {
    maxRequestHeapBytes: ONE_REQUEST_BYTES,
  });
  const first = call(harness.port, '/sheets/held');
  while (!isHeld()) await new Promise(setImmediate);
  const refused = await call(harness.port, '/sheets/1');
  assert.equal(refused.status, 503);
  assert.equal(refused.headers['retry-after'], '1');
  assert.match(refused.body, /refused: not run/);
  assert.deepEqual(harness.refusals, ['no-room-for-request']);
  assert.equal(harness.events.filter(({ kind }) => kind === 'request-arrived').length, 1);
  answerHeld();
  assert.equal((await first).status, 200);
  assert.equal((await call(harness.port, '/sheets/1')).status, 200);
});

test('pages of the daemon are served while callers hold all heap for requests', async (t) => {
  const { harness, answerHeld, isHeld } = await start(t, {
    maxRequestHeapBytes: ONE_REQUEST_BYTES,
  });
  const first = call(harness.port, '/sheets/held');
  while (!isHeld()) await new Promise(setImmediate);
  assert.equal((await call(harness.port, '/healthz')).status, 200);
  answerHeld();
  await first;
});

test('heap is released once callers have left', async (t) => {
  const { harness, isHeld, answerHeld } = await start(t, {
    maxRequestHeapBytes: ONE_REQUEST_BYTES,
  });
  const controller = new AbortController();
  const first = call(harness.port, '/sheets/held', { signal: controller.signal });
  while (!isHeld()) await new Promise(setImmediate);
  controller.abort();
  await assert.rejects(first);
  await harness.eventually(() => harness.events.some(({ kind }) => kind === 'caller-gone'));
  answerHeld();
  assert.equal((await call(harness.port, '/sheets/1')).status, 200);
});

// Guards against a limit that a caller meets inside of the others.
test('one request with as many headers as the header limit allows is served by the defaults', async (t) => {
  const { harness } = await start(t, {});
  const headers = Array.from({ length: 1_900 }, (_, index) => `${index.toString(36)}:1\r\n`).join(
    '',
  );
  const answer = await rawCall(
    harness.port,
    `GET /sheets/1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n${headers}\r\n`,
  );
  assert.match(answer, /^HTTP\/1\.1 200 /);
});

test('the heap for requests follows from the heap limit', () => {
  assert.equal(requestHeapLimit(70 * MEGABYTE), 13 * MEGABYTE);
  assert.equal(requestHeapLimit(20 * MEGABYTE), 4 * MEGABYTE);
  assert.ok(requestHeapLimit(2_048 * MEGABYTE) > 256 * MEGABYTE);
});

test('so do the connections whose heads may be incomplete, and the defaults are not bounded by 2 GiB', () => {
  assert.equal(connectionLimit(70 * MEGABYTE, 16_384), 190);
  assert.ok(connectionLimit(2_048 * MEGABYTE, 16_384) >= DEFAULT_HTTP_LIMITS.maxConnections);
});

test('a connection beyond the limit is closed at once, and counted', async (t) => {
  const { harness } = await start(t, { maxConnections: 1 });
  const kept = connect(harness.port, '127.0.0.1');
  await once(kept, 'connect');
  const dropped = connect(harness.port, '127.0.0.1');
  dropped.on('error', () => dropped.destroy());
  await once(dropped, 'close');
  kept.destroy();
  assert.deepEqual(harness.refusals, ['too-many-connections']);
});
