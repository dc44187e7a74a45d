/**
 * Guards against the loss of what a server reports in an answer to a call that was given up before the answer came: its
 * caller had left, the route's time was over, or another server had answered. The connection was closed with the call, so
 * nobody read that the server asked for a back-off, and the daemon sent it all requests in that time.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { ClientRequest } from 'node:http';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import type { LogEvent } from '../../src/core/logging/log-event.js';
import { deferred } from './support/deferred.js';
import {
  type CallerRequest,
  configuration,
  GatewayFixture,
  LONG_REQUEST,
  READ_ROUTE,
  RESUMABLE_ROUTE,
  route,
  SHORT_REQUEST,
} from './support/fixture.js';
import { ManualTimers } from './support/manual-timers.js';
import {
  answering,
  engine,
  type Script,
  type ServedRequest,
  type ServerStandIn,
  stamped,
} from './support/server-stand-in.js';

const BACK_OFF_MS = 3_000;
/** A daemon observes a back-off from this long after it was asked for it. */
const OBSERVED_AFTER_MS = 500;
const OTHER_CALLERS = 20;
/** Callers that have left cause no work at a server beyond this. */
const GONE_MS = 500;
/** A server that has held a request for this long is at work on it. */
const AT_WORK_MS = 500;
/** Turns of the event loop in which a call reaches a server. */
const MAX_WAITS = 100;
const SHORT_TIMEOUT_MS = 300;
const SHORT = route({ name: 'marks', pathPrefix: '/marks/', timeoutMs: SHORT_TIMEOUT_MS });
const IDEMPOTENT = route({
  name: 'thumbs',
  pathPrefix: '/thumbs/',
  kind: 'idempotent',
  attempts: 2,
});
const KINDS = [
  ['a web server', { path: '/thumbs/1' }, {}],
  ['an engine', SHORT_REQUEST, { service: 'reader', stage: 'decode' }],
] as const;

let fixture: GatewayFixture;
let timers: ManualTimers;

beforeEach(async () => {
  fixture = new GatewayFixture();
  timers = new ManualTimers();
  await fixture.start(timers);
  const routes = [route({}), SHORT, IDEMPOTENT, READ_ROUTE, RESUMABLE_ROUTE];
  fixture.store.putConfiguration(configuration(1, routes));
  await fixture.logged(GATEWAY_EVENTS.crashTableRead);
  await fixture.logged(GATEWAY_EVENTS.configurationInForce);
});

afterEach(() => fixture.stop());

function hasLogged(event: LogEvent, server: string): boolean {
  return fixture.lines.some((line) => line.event === event && line.fields.server === server);
}

async function addServer(id: string, script: Script, fields: object = {}): Promise<ServerStandIn> {
  const server = await fixture.addServer(id, script, fields);
  await timers.advanceUntil(() => hasLogged(GATEWAY_EVENTS.serverAdded, id));
  return server;
}

/** A server that holds its first request until the test answers it, and serves all others. */
async function addHolding(id: string, fields: object = {}, serve = answering(200, id)) {
  const held = deferred<ServedRequest>();
  let isHeld = false;
  const server = await addServer(
    id,
    (served) => {
      const { method, headers } = served.seen;
      const isPoll = method === 'GET' && headers['x-attempt-id'] === undefined;
      if (isHeld || isPoll) return serve(served);
      isHeld = true;
      held.resolve(served);
    },
    fields,
  );
  return { server, held: held.promise };
}

/** Rejects a request, and reports further headers. */
function reject({ seen, response }: ServedRequest, reports: Record<string, string>): void {
  const attemptId = String(seen.headers['x-attempt-id']);
  response.writeHead(503, { 'X-Attempt-Id': attemptId, 'X-Not-Executed': '1', ...reports }).end();
}

function askForBackOff(served: ServedRequest): void {
  reject(served, { 'Retry-After': String(BACK_OFF_MS / 1_000) });
}

/** The caller closes its connection, and the daemon has ended the request. */
async function leave(caller: ClientRequest): Promise<void> {
  caller.once('error', () => undefined);
  caller.destroy();
  await fixture.logged(
    GATEWAY_EVENTS.requestEnded,
    ({ outcome, request }) => outcome === 'caller-gone' && request === 'attempt-1',
  );
}

/** Sends requests of other callers in the back-off time, and returns how many of them reached the server. */
async function sentDuringBackOff(server: ServerStandIn, request: CallerRequest): Promise<number> {
  const before = server.seen.length;
  // The daemon reads what has reached it before any time passes.
  await fixture.readiness();
  timers.advance(OBSERVED_AFTER_MS);
  for (let sent = 0; sent < OTHER_CALLERS; sent += 1) {
    await fixture.call({
      ...request,
      headers: { ...request.headers, 'X-Attempt-Id': `o-${sent}` },
    });
  }
  return server.seen.slice(before).filter(({ headers }) => headers['x-attempt-id'] !== undefined)
    .length;
}

for (const [kind, path] of [
  ['may not be repeated', '/tiles/1'],
  ['may be repeated', '/thumbs/1'],
] as const) {
  for (const rejectedAfterMs of [0, 60, 190]) {
    test(`a server that rejects a request which ${kind} and asks for a back-off ${rejectedAfterMs} ms after the caller has left gets no request in that time`, async () => {
      const { server, held } = await addHolding('i-1');
      const caller = fixture.open({ path });
      const served = await held;
      await leave(caller);
      timers.advance(rejectedAfterMs);
      askForBackOff(served);
      await served.closed;
      assert.equal(await sentDuringBackOff(server, { path }), 0);
    });
  }
}

test('a server that asks for a back-off after the time-out of the route gets no request in that time', async () => {
  const { server, held } = await addHolding('i-1');
  const caller = fixture.open({ path: '/marks/1' });
  const served = await held;
  timers.advance(SHORT_TIMEOUT_MS);
  const [answer] = await once(caller, 'response');
  assert.equal(answer.statusCode, 504);
  timers.advance(80);
  askForBackOff(served);
  await served.closed;
  assert.equal(await sentDuringBackOff(server, { path: '/marks/1' }), 0);
});

test('a server that asks for a back-off after another server has answered gets no request in that time', async () => {
  const { server, held } = await addHolding('i-1');
  const leaving: Script = ({ seen, response }) => {
    response.writeHead(200, { ...stamped(seen), 'Server-Leaving': '1' }).end('second');
  };
  await addServer('i-2', leaving, { zone: 'b' });
  const caller = fixture.call({ path: '/thumbs/1' });
  const served = await held;
  timers.advance(100);
  assert.equal((await caller).body, 'second');
  askForBackOff(served);
  await served.closed;
  assert.equal(await sentDuringBackOff(server, { path: '/thumbs/1' }), 0);
});

for (const [step, request, stage] of [
  ['prefill', LONG_REQUEST, 'prefill'],
  ['run', SHORT_REQUEST, 'decode'],
] as const) {
  test(`an engine that rejects a ${step} and asks for a back-off after the caller has left gets no request in that time`, async () => {
    const fields = { service: 'reader', stage };
    const { server, held } = await addHolding('i-1', fields, engine(3));
    if (stage === 'prefill') await addServer('i-2', engine(3), { ...fields, stage: 'decode' });
    const caller = fixture.open(request);
    const served = await held;
    await leave(caller);
    timers.advance(60);
    askForBackOff(served);
    await served.closed;
    assert.equal(await sentDuringBackOff(server, request), 0);
  });
}

test('a server that reports that it leaves after its caller has left gets no more requests', async () => {
  const { server, held } = await addHolding('i-1');
  const caller = fixture.open({ path: '/tiles/1' });
  const served = await held;
  await leave(caller);
  reject(served, { 'Server-Leaving': '1' });
  await served.closed;
  assert.equal(await sentDuringBackOff(server, { path: '/tiles/1' }), 0);
});

test('a limit and a load that a server reports after its caller has left are recorded', async () => {
  const { held } = await addHolding('i-1');
  const caller = fixture.open({ path: '/tiles/1' });
  const served = await held;
  await leave(caller);
  reject(served, { 'Server-Limit': '7', 'X-Server-Load': 'unreadable' });
  await served.closed;
  await fixture.call({ path: '/tiles/2', headers: { 'X-Attempt-Id': 'o-1' } });
  assert.equal(hasLogged(GATEWAY_EVENTS.serverNamedLimit, 'i-1'), true);
  assert.equal(hasLogged(GATEWAY_EVENTS.toldLoadUnreadable, 'i-1'), true);
});

test('a rejection that arrives after the caller has left is recorded as one of its server', async () => {
  const { held } = await addHolding('i-1');
  const caller = fixture.open({ path: '/tiles/1' });
  const served = await held;
  await leave(caller);
  reject(served, {});
  await served.closed;
  await fixture.readiness();
  const failed = fixture.lines.filter(({ event }) => event === GATEWAY_EVENTS.attemptFailed);
  assert.deepEqual(
    failed.map(({ fields }) => [fields.server, fields.result, fields.request]),
    [['i-1', 'not-executed', 'attempt-1']],
  );
});

test('the memory of a prompt whose prefill ends after the caller has left is freed', async () => {
  const { server, held } = await addHolding(
    'i-1',
    { service: 'reader', stage: 'prefill' },
    engine(3),
  );
  await addServer('i-2', engine(3), { service: 'reader', stage: 'decode' });
  const caller = fixture.open(LONG_REQUEST);
  const served = await held;
  await leave(caller);
  timers.advance(60);
  engine(3)(served);
  const isFreed = () => server.seen.some(({ method }) => method === 'DELETE');
  let waits = 0;
  await timers.advanceUntil(() => isFreed() || ++waits > MAX_WAITS);
  assert.equal(isFreed(), true);
});

for (const [kind, request, fields] of KINDS) {
  test(`${kind} that does not answer works for half a second at most for a caller that has left`, async () => {
    const { held } = await addHolding('i-1', fields, engine(3));
    const caller = fixture.open(request);
    const served = await held;
    await leave(caller);
    timers.advance(GONE_MS);
    await served.closed;
    assert.equal(served.response.writableFinished, false);
  });
}

test('a stream that has begun is cancelled as soon as its caller has left', async () => {
  const { held } = await addHolding('i-1', { service: 'reader', stage: 'decode' }, engine(3));
  const caller = fixture.open(SHORT_REQUEST);
  const served = await held;
  served.response.writeHead(200, {
    'X-Attempt-Id': String(served.seen.headers['x-attempt-id']),
    'X-Response-Stamp': 'stamp',
    'Content-Type': 'text/event-stream',
  });
  served.response.write('id: 1\ndata: piece 1\n\n');
  const [answer] = await once(caller, 'response');
  await once(answer, 'data');
  await leave(caller);
  await served.closed;
});

for (const [kind, request, fields] of KINDS) {
  test(`${kind} that has held a request for long is at work on it, so the request is cancelled as soon as its caller has left`, async () => {
    const { held } = await addHolding('i-1', fields, engine(3));
    const caller = fixture.open(request);
    const served = await held;
    timers.advance(AT_WORK_MS);
    await leave(caller);
    await served.closed;
  });
}

test('a success that arrives after the caller has left is not read to its end', async () => {
  const { held } = await addHolding('i-1');
  const caller = fixture.open({ path: '/tiles/1' });
  const served = await held;
  await leave(caller);
  const attemptId = String(served.seen.headers['x-attempt-id']);
  served.response.writeHead(200, { 'X-Attempt-Id': attemptId, 'X-Response-Stamp': 'stamp' });
  served.response.write('part');
  await served.closed;
});
