/** Plain web requests through a complete gateway over TCP: the guarantees to callers and servers. */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { deferred } from './support/deferred.js';
import { configuration, GatewayFixture, route } from './support/fixture.js';
import { ManualTimers } from './support/manual-timers.js';
import {
  answering,
  rejectingAsNotExecuted,
  type ServedRequest,
  stamped,
} from './support/server-stand-in.js';

const IDEMPOTENT = route({
  name: 'thumbs',
  pathPrefix: '/thumbs/',
  kind: 'idempotent',
  attempts: 2,
});

let fixture: GatewayFixture;

beforeEach(() => {
  fixture = new GatewayFixture();
});

afterEach(() => fixture.stop());

async function startWith(version = 1): Promise<void> {
  await fixture.start();
  fixture.store.putConfiguration(configuration(version, [route({}), IDEMPOTENT]));
  await fixture.logged(GATEWAY_EVENTS.configurationInForce);
}

function listed(id: string): Promise<void> {
  return fixture.logged(GATEWAY_EVENTS.serverAdded, (fields) => fields.server === id);
}

test('a request and its answer are forwarded unchanged', async () => {
  await startWith();
  const server = await fixture.addServer('i-1', answering(201, 'made'));
  await listed('i-1');
  const answer = await fixture.call({
    path: '/tiles/7?x=1',
    body: 'sheet',
    headers: { 'X-Deadline-Ms': '800', 'X-Stage': 'prefill', 'X-Custom': 'kept' },
  });
  assert.equal(answer.status, 201);
  assert.equal(answer.body, 'made');
  assert.equal(answer.headers['x-response-stamp'], 'stamp');
  const seen = server.seen[0];
  assert.equal(seen?.url, '/tiles/7?x=1');
  assert.equal(seen?.body, 'sheet');
  assert.equal(seen?.headers['x-custom'], 'kept');
  assert.equal(seen?.headers['x-expect-instance'], 'i-1');
  assert.equal(seen?.headers['x-stage'], undefined);
  assert.ok(Number(seen?.headers['x-deadline-ms']) <= 800);
});

test('before the first configuration a request is refused with a retry time', async () => {
  await fixture.start();
  const answer = await fixture.call({ path: '/tiles/1' });
  assert.equal(answer.status, 503);
  assert.equal(answer.headers['retry-after'], '1');
  assert.equal(await fixture.readiness(), 503);
});

test('a path without a route gets a 404, a body over the limit a 413', async () => {
  await startWith();
  assert.equal((await fixture.call({ path: '/nowhere/1' })).status, 404);
  assert.equal((await fixture.call({ path: '/tiles/1', body: 'x'.repeat(1_001) })).status, 413);
});

test('a request without a route is logged with the configuration version and the age of its last check', async () => {
  await startWith(7);
  await fixture.call({ path: '/nowhere/1', headers: { 'X-Attempt-Id': 'attempt-9' } });
  const line = fixture.lines.find(({ event }) => event === GATEWAY_EVENTS.routeUnknown);
  assert.equal(line?.fields.request, 'attempt-9');
  assert.equal(line?.fields.configurationVersion, 7);
  assert.ok(Number(line?.fields.inForceForMs) >= 0);
  assert.ok(Number(line?.fields.lookAgeMs) >= 0);
});

test('a request that may not be repeated runs once, even if its server closes the connection', async () => {
  await startWith();
  const breaking = ({ socket }: ServedRequest) => socket.destroy();
  const first = await fixture.addServer('i-1', breaking);
  const second = await fixture.addServer('i-2', breaking);
  await Promise.all([listed('i-1'), listed('i-2')]);
  const answer = await fixture.call({ path: '/tiles/1' });
  assert.equal(answer.status, 502);
  assert.equal(first.seen.length + second.seen.length, 1);
});

test('a request that a server rejected goes to another server', async () => {
  await startWith();
  await fixture.addServer('i-1', rejectingAsNotExecuted, { zone: 'a' });
  await fixture.addServer('i-2', answering(200, 'served'), { zone: 'b' });
  await Promise.all([listed('i-1'), listed('i-2')]);
  const answer = await fixture.call({ path: '/tiles/1' });
  assert.equal(answer.status, 200);
  assert.equal(answer.body, 'served');
});

test('a request that every server rejected is refused at once with a 503', async () => {
  await startWith();
  await fixture.addServer('i-1', rejectingAsNotExecuted);
  await listed('i-1');
  const answer = await fixture.call({ path: '/tiles/1' });
  assert.equal(answer.status, 503);
  assert.ok(Number(answer.headers['retry-after']) > 0);
});

test('a 503 without the not-executed header is not forwarded as a promise that the request has not run', async () => {
  await startWith();
  await fixture.addServer('i-1', answering(503, 'busy'));
  await listed('i-1');
  assert.equal((await fixture.call({ path: '/tiles/1' })).status, 502);
});

test('a repeatable request that failed is retried at a second server', async () => {
  await startWith();
  await fixture.addServer('i-1', answering(500, 'no'), { zone: 'a' });
  await fixture.addServer('i-2', answering(200, 'yes'), { zone: 'b' });
  await Promise.all([listed('i-1'), listed('i-2')]);
  const answer = await fixture.call({ path: '/thumbs/1', method: 'GET' });
  assert.equal(answer.body, 'yes');
});

test('an answer shorter than its content length is not forwarded as complete', async () => {
  await startWith();
  await fixture.addServer('i-1', ({ seen, response }) => {
    response.writeHead(200, { ...stamped(seen), 'Content-Length': 100 });
    response.write('half', () => response.destroy());
  });
  await listed('i-1');
  assert.equal((await fixture.call({ path: '/tiles/1' })).status, 502);
});

test('an answer that is delimited by the close of its connection is forwarded without a length', async () => {
  await startWith();
  await fixture.addServer('i-1', ({ seen, socket }) => {
    const id = seen.headers['x-attempt-id'];
    socket.end(`HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Response-Stamp: s\r\n\r\npart`);
  });
  await listed('i-1');
  const answer = await fixture.call({ path: '/tiles/1' });
  assert.equal(answer.status, 200);
  assert.equal(answer.headers['content-length'], undefined);
  assert.equal(answer.headers['transfer-encoding'], undefined);
  assert.equal(answer.headers.connection, 'close');
});

test("another request's answer is not forwarded", async () => {
  await startWith();
  await fixture.addServer('i-1', ({ response }) => {
    response.writeHead(200, { 'X-Attempt-Id': 'other', 'X-Response-Stamp': 's' }).end('theirs');
  });
  await listed('i-1');
  assert.equal((await fixture.call({ path: '/tiles/1' })).status, 502);
});

test('a request that may be running at its route time-out fails with a 504', async () => {
  const timers = new ManualTimers();
  await fixture.start(timers);
  fixture.store.putConfiguration(configuration(1, [route({})]));
  await fixture.logged(GATEWAY_EVENTS.configurationInForce);
  const arrived = deferred<ServedRequest>();
  await fixture.addServer('i-1', (served) => arrived.resolve(served));
  await listed('i-1');
  const pending = fixture.call({ path: '/tiles/1' });
  const served = await arrived.promise;
  timers.advance(1_000);
  assert.equal((await pending).status, 504);
  await served.closed;
});

test('when a caller disconnects, the connection to its server is closed', async () => {
  await startWith();
  const arrived = deferred<ServedRequest>();
  await fixture.addServer('i-1', (served) => arrived.resolve(served));
  await listed('i-1');
  const sent = fixture.open({ path: '/tiles/1' });
  sent.on('error', () => undefined);
  const served = await arrived.promise;
  sent.destroy();
  await served.closed;
});

test('a slow repeatable request is also sent to a second server', async () => {
  const timers = new ManualTimers();
  await fixture.start(timers);
  fixture.store.putConfiguration(configuration(1, [IDEMPOTENT]));
  await fixture.logged(GATEWAY_EVENTS.configurationInForce);
  const arrived = deferred<void>();
  await fixture.addServer('i-1', () => arrived.resolve(), { zone: 'a' });
  await fixture.addServer('i-2', answering(200, 'second'), { zone: 'b' });
  await Promise.all([listed('i-1'), listed('i-2')]);
  const pending = fixture.call({ path: '/thumbs/1', method: 'GET' });
  await arrived.promise;
  timers.advance(100);
  assert.equal((await pending).body, 'second');
});
