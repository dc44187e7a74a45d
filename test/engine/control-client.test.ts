/** The control client over TCP, against emulated engines and faulty servers. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type Socket } from 'node:net';
import { type TestContext, test } from 'node:test';
import { request } from 'undici';
import { prefixBlockHashes } from '../../src/core/common/prefix-blocks.js';
import type { Endpoint } from '../../src/core/registry/backend.js';
import type { EngineServerOptions } from '../../src/lab/engine/index.js';
import {
  createEngineControlClient,
  type EngineControlClient,
  EngineReachability,
  type PollOutcome,
} from '../../src/shell/engine/index.js';
import { CLOSE_INTAKE, orderOf, startEngine, TO_DECODE } from './fixtures.js';

const TIMEOUT_MS = 1_000;
const UNHURRIED_MS = 60_000;

function openClient(context: TestContext, timeoutMs = TIMEOUT_MS): EngineControlClient {
  const client = createEngineControlClient({ timeoutMs });
  context.after(() => client.close());
  return client;
}

async function openEngine(context: TestContext, options: Partial<EngineServerOptions> = {}) {
  const engine = await startEngine(options);
  context.after(() => engine.close());
  return engine;
}

/** A TCP server that calls `answer` for each connection once its first bytes have arrived. */
async function startFaultyServer(context: TestContext, answer: (socket: Socket) => void) {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.once('data', () => answer(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = server.address();
  const port = typeof address === 'object' && address !== null ? address.port : 0;
  const endpoint: Endpoint = { address: '127.0.0.1', port };
  const close = async (): Promise<void> => {
    const closed = new Promise((resolve) => server.close(resolve));
    for (const socket of sockets) socket.destroy();
    await closed;
  };
  context.after(close);
  return endpoint;
}

test('an order is accepted, or refused with the fence of the engine, and its state can be queried', async (context) => {
  const engine = await openEngine(context);
  const client = openClient(context);
  const boot = engine.model.boot;
  const accepted = await client.order(engine.endpoint, orderOf(boot, 2, CLOSE_INTAKE));
  assert.deepEqual(accepted, { kind: 'accepted', state: 'done' });
  const stale = await client.order(engine.endpoint, orderOf(boot, 1, TO_DECODE));
  const fence = { epoch: 1, sequence: 2 };
  assert.deepEqual(stale, { kind: 'refused', reason: 'stale-fence', fence, boot });
  assert.equal(await client.orderState(engine.endpoint, 'order-2'), 'done');
  assert.equal(await client.orderState(engine.endpoint, 'order-1'), 'unknown');
  const report = (await client.report(engine.endpoint))._unsafeUnwrap();
  assert.deepEqual([report.engine, report.intake, report.fence], ['engine-1', 'closed', fence]);
});

test('an order to a closed port is lost, with the reason that it was not sent', async (context) => {
  const engine = await openEngine(context);
  await engine.close();
  const client = openClient(context);
  const answer = await client.order(engine.endpoint, orderOf('boot', 1, TO_DECODE));
  assert.equal(answer.kind === 'lost' && answer.reason.startsWith('not sent: '), true);
});

test('an order of which bytes were sent is lost, however the connection ends', async (context) => {
  // The time-out runs out once the bytes have arrived: an order that is not sent in time is rightly reported as not sent.
  context.mock.timers.enable({ apis: ['setTimeout'] });
  const client = openClient(context);
  const failures: ((socket: Socket) => void)[] = [
    (socket) => socket.destroy(),
    (socket) => socket.resetAndDestroy(),
    (socket) => socket.end('HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{"kind":"accepted"'),
    (socket) => socket.end('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}'),
    (socket) => socket.end('HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n'),
    () => context.mock.timers.tick(TIMEOUT_MS),
  ];
  for (const failure of failures) {
    const faultyServer = await startFaultyServer(context, failure);
    const answer = await client.order(faultyServer, orderOf('boot', 1, TO_DECODE));
    assert.equal(answer.kind, 'lost', failure.toString());
    assert.equal(answer.kind === 'lost' && answer.reason.startsWith('not sent'), false);
    assert.equal(await client.orderState(faultyServer, 'order-1'), 'lost');
  }
});

test('a malformed report is a retryable fault', async (context) => {
  const client = openClient(context);
  const faultyServer = await startFaultyServer(context, (socket) =>
    socket.end('HTTP/1.1 200 OK\r\ncontent-length: 18\r\n\r\n{"engine":"engine"'),
  );
  const fault = (await client.report(faultyServer))._unsafeUnwrapErr();
  assert.deepEqual([fault.code, fault.retryable], ['backend-broken', true]);
});

// Guards against a process that V8 ends as millions of small values of one engine's answer are decoded.
test('a report that goes on is given up at a size that no answer of an engine has', async (context) => {
  const client = openClient(context, UNHURRIED_MS);
  let writtenBytes = 0;
  const values = Buffer.from('[],'.repeat(100_000));
  const faultyServer = await startFaultyServer(context, (socket) => {
    socket.write('HTTP/1.1 200 OK\r\ncontent-length: 30000000\r\n\r\n[');
    socket.on('error', () => socket.destroy());
    const writeOn = (): void => {
      if (socket.destroyed || writtenBytes >= 30_000_000) return;
      writtenBytes += values.length;
      socket.write(values, () => setImmediate(writeOn));
    };
    writeOn();
  });
  const fault = (await client.report(faultyServer))._unsafeUnwrapErr();
  assert.equal(fault.code, 'backend-broken');
  assert.match(fault.message, /too large/);
});

// Guards against a limit that an engine meets whose events are all asked for.
test('a page of all cache events that an engine keeps is read', async (context) => {
  const client = openClient(context);
  const events = Array.from({ length: 4_096 }, (_, index) => ({
    n: Number.MAX_SAFE_INTEGER - index,
    kind: 'evicted',
    hash: 'f'.repeat(128),
  }));
  const body = JSON.stringify({ events, last: Number.MAX_SAFE_INTEGER });
  const engine = await startFaultyServer(context, (socket) =>
    socket.end(`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`),
  );
  const page = (await client.cacheEvents(engine, 0))._unsafeUnwrap();
  assert.deepEqual(page.events, events);
});

test('an attempt is cancelled and cache events are read over the control interface', async (context) => {
  const engine = await openEngine(context, { cacheEventDelayMs: 0, cacheEventLoss: 0 });
  const client = openClient(context);
  const { address, port } = engine.endpoint;
  const prompt = 'z'.repeat(600);
  const answer = await request(`http://${address}:${port}/v1/completions`, {
    method: 'POST',
    headers: { 'x-threadfork-attempt': 'r1' },
    body: JSON.stringify({ model: 'labels', prompt, max_tokens: 100_000, stream: true }),
  });
  await once(answer.body, 'readable');
  assert.equal((await client.cancel(engine.endpoint, 'r1'))._unsafeUnwrap(), true);
  assert.equal((await client.cancel(engine.endpoint, 'r1'))._unsafeUnwrap(), false);
  await assert.rejects(answer.body.text());
  const page = (await client.cacheEvents(engine.endpoint, 0))._unsafeUnwrap();
  const hashes = page.events.map((event) => event.hash);
  assert.deepEqual([hashes, page.last], [prefixBlockHashes(prompt, 32), 2]);
});

test('an engine that stops or resumes reporting is logged once; another engine at its address is logged separately', () => {
  const reachability = new EngineReachability();
  const polls: PollOutcome[] = [
    { kind: 'reported' },
    { kind: 'silent', reason: 'ECONNREFUSED' },
    { kind: 'silent', reason: 'ECONNRESET' },
    { kind: 'other-engine', answeredBy: 'engine-2' },
    { kind: 'other-engine', answeredBy: 'engine-2' },
    { kind: 'reported' },
    { kind: 'reported' },
  ];
  const numbers = polls.map(
    (poll) => reachability.recordPoll('engine-1', poll)?.event.number ?? null,
  );
  assert.deepEqual(numbers, [null, 3000, null, 3002, null, 3001, null]);
});
