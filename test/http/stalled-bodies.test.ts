/** Guards against bodies that stop half-way and hold memory until their request times out, so that other bodies are refused. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { type TestContext, test } from 'node:test';
import type { HttpLimits } from '../../src/shell/http/index.js';
import { call, type Harness, KEY, startHarness, startHttpBackend } from './support.js';

const BODY = 'x'.repeat(1_000_000);
/** Room for one body, and not for two. */
const MAX_BUFFERED_BYTES = 1_500_000;
const STALL_MS = 20;
/** After this time without a byte a body is evicted for another one. */
const GIVES_WAY_AFTER_MS = 1_000;

interface Caller {
  readonly socket: Socket;
  readonly answer: Promise<string>;
}

/** Sends a request whose body stops one byte short of its end. */
function sendUpToLastByte(harness: Harness): Caller {
  const socket = connect(harness.port, '127.0.0.1');
  let text = '';
  socket.on('data', (chunk) => {
    text += chunk.toString('latin1');
  });
  socket.on('error', () => socket.destroy());
  const head = [
    'POST /sheets/1 HTTP/1.1',
    'host: a',
    `authorization: Bearer ${KEY}`,
    'connection: close',
    `content-length: ${BODY.length}`,
  ].join('\r\n');
  socket.write(`${head}\r\n\r\n${BODY.slice(1)}`);
  return { socket, answer: once(socket, 'close').then(() => text) };
}

interface Setting {
  readonly harness: Harness;
  /** Moves the daemon's clock on. */
  advance(ms: number): void;
}

async function start(context: TestContext, limits: Partial<HttpLimits>): Promise<Setting> {
  let nowMs = 0;
  const backend = await startHttpBackend('web', (request, response) => {
    request.resume();
    request.once('end', () => response.end('served'));
  });
  const harness = await startHarness({ backends: [backend], limits, now: () => nowMs });
  context.after(async () => {
    await harness.close();
    await backend.close();
  });
  const advance = (ms: number): void => {
    nowMs += ms;
  };
  return { harness, advance };
}

/** Resolves once the server holds at least this much of bodies. */
async function untilHeld(harness: Harness, bytes: number): Promise<void> {
  while (harness.server.heldBodyBytes < bytes) await new Promise(setImmediate);
}

test('a body that has stopped for too long is refused as not run, and its memory released', async (t) => {
  const { harness, advance } = await start(t, { bodyStallTimeoutMs: STALL_MS });
  const caller = sendUpToLastByte(harness);
  await untilHeld(harness, BODY.length - 1);
  advance(STALL_MS);
  const answer = await caller.answer;
  assert.match(answer, /^HTTP\/1\.1 408 /);
  assert.match(answer, /refused: not run/);
  assert.equal(harness.server.heldBodyBytes, 0);
  assert.deepEqual(harness.refusals, ['body-stalled']);
  assert.deepEqual(harness.events, []);
});

test('a body that goes on before the time-out is served', async (t) => {
  const { harness, advance } = await start(t, { bodyStallTimeoutMs: STALL_MS });
  const caller = sendUpToLastByte(harness);
  await untilHeld(harness, BODY.length - 1);
  advance(STALL_MS - 1);
  await new Promise((resolve) => setTimeout(resolve, 5 * STALL_MS));
  caller.socket.write('x');
  assert.match(await caller.answer, /^HTTP\/1\.1 200 /);
  assert.deepEqual(harness.refusals, []);
});

test('a body that has stopped is evicted for one that arrives while there is no room for both', async (t) => {
  const { harness, advance } = await start(t, { maxBufferedBytes: MAX_BUFFERED_BYTES });
  const caller = sendUpToLastByte(harness);
  await untilHeld(harness, BODY.length - 1);
  advance(GIVES_WAY_AFTER_MS);
  const other = await call(harness.port, '/sheets/2', { body: BODY });
  assert.equal(other.status, 200);
  const answer = await caller.answer;
  assert.match(answer, /^HTTP\/1\.1 503 /);
  assert.match(answer, /refused: not run/);
  assert.deepEqual(harness.refusals, ['body-evicted']);
});

test('a body that has just made progress is not evicted', async (t) => {
  const { harness, advance } = await start(t, { maxBufferedBytes: MAX_BUFFERED_BYTES });
  const caller = sendUpToLastByte(harness);
  await untilHeld(harness, BODY.length - 1);
  advance(GIVES_WAY_AFTER_MS - 1);
  const other = await call(harness.port, '/sheets/2', { body: BODY });
  assert.equal(other.status, 503);
  assert.deepEqual(harness.refusals, ['no-room-for-body']);
  caller.socket.write('x');
  assert.match(await caller.answer, /^HTTP\/1\.1 200 /);
  assert.equal(harness.server.heldBodyBytes, 0);
});
