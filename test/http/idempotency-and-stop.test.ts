/** Idempotency keys over HTTP, and planned stops of the server. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { Agent, request as sendRequest } from 'node:http';
import { connect } from 'node:net';
import { type TestContext, test } from 'node:test';
import {
  attemptOf,
  type Backend,
  call,
  endFrames,
  type Harness,
  KEY,
  startHarness,
  startHttpBackend,
  startRawBackend,
  streamHead,
  tokenFrame,
} from './support.js';

const KEYED = { headers: { 'idempotency-key': 'renewal-7' }, body: 'sku=1' };

async function start(t: TestContext, backend: Backend): Promise<Harness> {
  const harness = await startHarness({ backends: [backend] });
  t.after(() => Promise.all([harness.close(), backend.close()]));
  return harness;
}

/** An order service that records its running requests; tests answer them. */
async function startOrders(): Promise<{
  readonly backend: Backend;
  readonly running: ServerResponse[];
  readonly arrived: () => Promise<void>;
}> {
  const running: ServerResponse[] = [];
  let wake = (): void => {};
  const backend = await startHttpBackend('orders', (_request, response) => {
    running.push(response);
    wake();
  });
  const arrived = (): Promise<void> => new Promise((resolve) => (wake = resolve));
  return { backend, running, arrived };
}

test('a repeat of a key gets the recorded answer, another body a conflict, and the request runs once', async (t) => {
  const orders = await startOrders();
  const harness = await start(t, orders.backend);
  const arrived = orders.arrived();
  const first = call(harness.port, '/sheets/orders', KEYED);
  await arrived;
  const early = await call(harness.port, '/sheets/orders', KEYED);
  assert.equal(early.status, 409);
  assert.match(early.body, /"code":"idempotency-in-progress","param":null,"retryable":true/);
  assert.equal(early.headers['retry-after'], '1');
  orders.running[0]?.writeHead(201, { 'content-type': 'text/plain' }).end('renewed');
  assert.equal((await first).body, 'renewed');
  await harness.eventually(() => harness.table.settlingCount === 0);
  const repeat = await call(harness.port, '/sheets/orders', KEYED);
  assert.deepEqual([repeat.status, repeat.body], [201, 'renewed']);
  assert.equal(repeat.headers['idempotency-replayed'], 'true');
  const other = await call(harness.port, '/sheets/orders', { ...KEYED, body: 'sku=2' });
  assert.equal(other.status, 422);
  assert.equal(orders.running.length, 1);
});

test('a keyed request continues after its caller disconnects, and a repeat gets its outcome', async (t) => {
  const orders = await startOrders();
  const harness = await start(t, orders.backend);
  const arrived = orders.arrived();
  const callerAbort = new AbortController();
  const first = call(harness.port, '/sheets/orders', { ...KEYED, signal: callerAbort.signal });
  await arrived;
  callerAbort.abort();
  await assert.rejects(first);
  await harness.eventually(() => harness.events.some((event) => event.kind === 'caller-gone'));
  orders.running[0]?.end('renewed');
  await harness.eventually(() => harness.table.activeCount + harness.table.settlingCount === 0);
  assert.equal((await call(harness.port, '/sheets/orders', KEYED)).body, 'renewed');
  assert.equal(orders.running.length, 1);
  assert.equal(harness.server.activeRequests, 0);
});

test('a keyed request whose service breaks off has an unknown outcome, and so has its repeat', async (t) => {
  let runs = 0;
  const service = await startRawBackend('orders', (socket) => {
    runs += 1;
    socket.destroy();
  });
  const harness = await start(t, service);
  for (let round = 0; round < 2; round += 1) {
    const answer = await call(harness.port, '/sheets/orders', KEYED);
    assert.equal(answer.status, 502);
    assert.match(answer.body, /"outcome":"unknown"/);
    await harness.eventually(() => harness.table.settlingCount === 0);
  }
  assert.equal(runs, 1);
});

test('a keyed request is refused as not run while the store is down', async (t) => {
  const orders = await startOrders();
  const harness = await start(t, orders.backend);
  harness.store.mode = 'down';
  const answer = await call(harness.port, '/sheets/orders', KEYED);
  assert.equal(answer.status, 503);
  assert.match(answer.body, /"code":"store-unavailable".*"outcome":"refused: not run"/);
  assert.equal(orders.running.length, 0);
});

test('a streamed answer is replayed completely for a repeat of its key', async (t) => {
  const engine = await startRawBackend('e1', (socket, text) => {
    const attempt = attemptOf(text);
    socket.end(streamHead(attempt) + tokenFrame(attempt, 0, 'a', true) + endFrames(attempt, 1));
  });
  const harness = await start(t, engine);
  const options = {
    headers: KEYED.headers,
    body: { model: 'labels', prompt: 'p', stream: true },
  };
  const first = await call(harness.port, '/v1/completions', options);
  await harness.eventually(() => harness.table.settlingCount === 0);
  const repeat = await call(harness.port, '/v1/completions', options);
  assert.equal(repeat.body, first.body);
  assert.equal(repeat.headers['content-type'], 'text/event-stream');
});

test('a planned stop closes idle connections and lets running answers complete', async (t) => {
  const orders = await startOrders();
  const harness = await start(t, orders.backend);
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  t.after(() => agent.destroy());
  const idle = connect(harness.port, '127.0.0.1');
  await once(idle, 'connect');
  idle.resume();
  const arrived = orders.arrived();
  const running = callWithAgent(harness.port, agent);
  await arrived;
  const stopped = harness.server.stopAccepting();
  assert.equal(harness.server.activeRequests, 1);
  await Promise.all([stopped, once(idle, 'close')]);
  await assert.rejects(call(harness.port, '/healthz'), /ECONNREFUSED/);
  orders.running[0]?.end('renewed');
  assert.equal(await running, 'renewed');
  await harness.eventually(() => harness.table.activeCount === 0);
});

test('a request on an open connection during a stop is answered with connection: close', async (t) => {
  const harness = await startHarness({ limits: { stopIdleGraceMs: 500 } });
  t.after(() => harness.close());
  const socket = connect(harness.port, '127.0.0.1');
  let text = '';
  socket.on('data', (chunk) => {
    text += chunk.toString('latin1');
  });
  socket.write('GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n');
  await once(socket, 'data');
  const stopped = harness.server.stopAccepting();
  socket.write('GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n');
  await once(socket, 'close');
  await stopped;
  assert.equal([...text.matchAll(/HTTP\/1\.1 200/g)].length, 2);
  assert.match(text, /connection: close/i);
});

function callWithAgent(port: number, agent: Agent): Promise<string> {
  return new Promise((resolve, reject) => {
    const request = sendRequest(
      {
        host: '127.0.0.1',
        port,
        path: '/sheets/orders',
        method: 'POST',
        agent,
        headers: { authorization: `Bearer ${KEY}` },
      },
      async (response) => {
        let text = '';
        for await (const chunk of response) text += String(chunk);
        resolve(text);
      },
    );
    request.on('error', reject);
    request.end('x');
  });
}
