/**
 * Guards against requests to servers that announced in an answer that they leave, or that asked for a back-off period.
 *
 * - Only the list from the store showed that a server leaves. An engine announced it from 7.5 s on, but the store was
 *   unavailable (event 6020) and recorded it at 20.2 s; until then, nine daemons sent the engine 89 more requests, two of
 *   them 2,111 and 2,138 ms after the same daemon had relayed such an answer.
 * - A web server that asked for 3 s got requests after 654, 499 and 491 ms (event 6033, `not-executed` 503), while two
 *   others of its service answered: the daemon applied only its own back-off, which began at 100 ms.
 * - Where all engines had asked for a back-off, a prompt was prefilled at one for 31 ms and the run then tried at two
 *   others: backing off only made a server the last choice.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { DEFAULT_LOAD_DECISIONS } from '../../src/shell/gateway/index.js';
import { deferred } from './support/deferred.js';
import {
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

let fixture: GatewayFixture;
let timers: ManualTimers;

// Requests wait for capacity only where a test enables that, and time passes only where a test advances it.
beforeEach(() => start(false));

async function start(waiting: boolean): Promise<void> {
  fixture = new GatewayFixture();
  timers = new ManualTimers();
  await fixture.start(timers, undefined, { ...DEFAULT_LOAD_DECISIONS, waiting });
  fixture.store.putConfiguration(configuration(1, [route({}), READ_ROUTE, RESUMABLE_ROUTE]));
  await fixture.logged(GATEWAY_EVENTS.configurationInForce);
}

afterEach(() => fixture.stop());

/** Answers successfully, and announces that the server leaves. */
const leaving: Script = ({ seen, response }) => {
  response.writeHead(200, { ...stamped(seen), 'Server-Leaving': '1', 'Content-Length': 0 }).end();
};

/** Rejects requests and asks for a back-off; polls for cache events get a 404. */
function askingForBackOff(retryAfter = String(BACK_OFF_MS / 1_000)): Script {
  return ({ seen, response }) => {
    if (seen.method === 'GET') {
      response.writeHead(404).end();
      return;
    }
    const attemptId = String(seen.headers['x-attempt-id']);
    const marks = { 'X-Attempt-Id': attemptId, 'X-Not-Executed': '1', 'Retry-After': retryAfter };
    response.writeHead(503, marks).end();
  };
}

async function addServer(id: string, script: Script, fields: object = {}): Promise<ServerStandIn> {
  const server = await fixture.addServer(id, script, fields);
  await timers.advanceUntil(() =>
    fixture.lines.some((line) => {
      return line.event === GATEWAY_EVENTS.serverAdded && line.fields.server === id;
    }),
  );
  return server;
}

function addEngine(id: string, stage: 'prefill' | 'decode', script = engine(3)) {
  return addServer(id, script, { service: 'reader', stage });
}

/** Runs of callers' requests that a server received, whatever their outcome. */
function runsAt(server: ServerStandIn) {
  const isRun = ({ method, url, headers }: (typeof server.seen)[number]) =>
    method === 'POST' && /^\/(tiles|read|check)\//.test(url) && headers['x-stage'] === undefined;
  return server.seen.filter(isRun);
}

test('a server that announces in an answer that it leaves gets no more requests, although the store lists it as ready', async () => {
  const first = await addServer('i-1', leaving);
  assert.equal((await fixture.call({ path: '/tiles/1' })).status, 200);
  const second = await addServer('i-2', answering(200, 'stays'));
  fixture.store.fault = 'refuse';
  timers.advance(2_111);
  for (let sent = 0; sent < 20; sent += 1) {
    assert.equal((await fixture.call({ path: `/tiles/${sent}` })).body, 'stays');
  }
  assert.deepEqual([runsAt(first).length, runsAt(second).length], [1, 20]);
});

test('a server that asks for a back-off gets no request in all that time while another one answers, even if that one is full', async () => {
  const backingOff = await addServer('i-1', askingForBackOff());
  await fixture.call({ path: '/tiles/1' });
  const held = deferred<ServedRequest>();
  const script: Script = (served) => {
    if (served.seen.url === '/tiles/held') held.resolve(served);
    else answering(200, 'full')(served);
  };
  const full = await addServer('i-2', script, { slots: 1 });
  const pending = fixture.call({ path: '/tiles/held' });
  const served = await held.promise;
  for (const spanMs of [654, 499, 491]) {
    timers.advance(spanMs);
    assert.equal((await fixture.call({ path: '/tiles/2' })).body, 'full');
  }
  assert.deepEqual([runsAt(backingOff).length, runsAt(full).length], [1, 4]);
  answering(200, 'held')(served);
  await pending;
});

test('a run does not go to an engine that asked for a back-off during its prefill; without another engine it is refused', async () => {
  const reading = deferred<ServedRequest>();
  await addEngine('i-p', 'prefill', (served) => {
    if (served.seen.headers['x-stage'] === 'prefill') reading.resolve(served);
    else engine(3)(served);
  });
  const decode = await addEngine('i-d', 'decode', askingForBackOff());
  const long = fixture.call(LONG_REQUEST);
  const read = await reading.promise;
  assert.equal((await fixture.call(SHORT_REQUEST)).status, 503);
  timers.advance(600);
  engine(3)(read);
  const answer = await long;
  assert.equal(answer.status, 503);
  assert.equal(runsAt(decode).length, 1);
  const waitMs = Number(answer.headers['retry-after']) * 1_000;
  assert.ok(waitMs >= BACK_OFF_MS - 600 && waitMs <= 1.5 * BACK_OFF_MS, `${waitMs}`);
});

test('where all servers leave, a request is refused at once, and the log says why', async () => {
  await addServer('i-1', leaving);
  await addServer('i-2', leaving);
  await fixture.call({ path: '/tiles/1' });
  await fixture.call({ path: '/tiles/1' });
  const answer = await fixture.call({ path: '/tiles/1' });
  assert.equal(answer.status, 503);
  assert.ok(Number(answer.headers['retry-after']) > 0);
  await fixture.logged(GATEWAY_EVENTS.requestRefused, ({ leaving: count }) => count === 2);
});

test('after the back-off one request tries the server, and no other goes there until it is answered', async () => {
  const trial = deferred<ServedRequest>();
  const backingOff = await addServer('i-1', askingForBackOff());
  await fixture.call({ path: '/tiles/1' });
  backingOff.script = (served) => trial.resolve(served);
  timers.advance(1.1 * BACK_OFF_MS);
  const first = fixture.call({ path: '/tiles/first' });
  const served = await trial.promise;
  const refused = await fixture.call({ path: '/tiles/second' });
  assert.equal(refused.status, 503);
  answering(200, 'tried')(served);
  assert.equal((await first).body, 'tried');
  backingOff.script = answering(200, 'open');
  assert.equal((await fixture.call({ path: '/tiles/third' })).body, 'open');
});

test('a server that restarted after it announced that it leaves gets requests like any other', async () => {
  const first = await addServer('i-1', leaving, { born: timers.nowMs() });
  await fixture.call({ path: '/tiles/1' });
  assert.equal((await fixture.call({ path: '/tiles/1' })).status, 503);
  first.script = answering(200, 'anew');
  timers.advance(2_000);
  fixture.listServer('i-1', first, { born: timers.nowMs() });
  await timers.advanceUntil(() =>
    fixture.lines.some(({ event }) => event === GATEWAY_EVENTS.serverRenewed),
  );
  assert.equal((await fixture.call({ path: '/tiles/1' })).body, 'anew');
});

/**
 * A restarted server announced that it leaves before the daemon's list showed the restart. The list was 1.7 s late, as the
 * store was unavailable to the daemon: event 6025 at 974.676 s, event 6097 at 976.375 s with a start at 972.912 s. The
 * announcement was attributed to the previous boot and dropped with it, and a request went there 2,304 ms after it.
 */
test('a leave announced just after a restart still holds once the list shows that restart', async () => {
  const first = await addServer('i-1', answering(200, 'before'), { born: timers.nowMs() });
  await fixture.call({ path: '/tiles/1' });
  timers.advance(5_000);
  const born = timers.nowMs();
  first.script = leaving;
  timers.advance(1_764);
  assert.equal((await fixture.call({ path: '/tiles/1' })).status, 200);
  timers.advance(1_699);
  fixture.listServer('i-1', first, { born });
  await timers.advanceUntil(() =>
    fixture.lines.some(({ event }) => event === GATEWAY_EVENTS.serverRenewed),
  );
  assert.equal((await fixture.call({ path: '/tiles/1' })).status, 503);
});

test('unreadable values in an answer change nothing and are logged once', async () => {
  await addServer('i-1', ({ seen, response }) => {
    const headers = { 'Server-Leaving': 'true', 'Retry-After': '3' };
    response.writeHead(200, { ...stamped(seen), ...headers, 'Content-Length': 0 }).end();
  });
  for (let sent = 0; sent < 3; sent += 1) {
    assert.equal((await fixture.call({ path: '/tiles/1' })).status, 200);
  }
  const logged = fixture.lines.filter(
    ({ event }) => event === GATEWAY_EVENTS.toldAvailabilityUnreadable,
  );
  assert.equal(logged.length, 1);
});

for (const [kind, request, fields] of [
  ['a web server', { path: '/tiles/1' }, {}],
  ['an engine', SHORT_REQUEST, { service: 'reader', stage: 'decode' }],
] as const) {
  test(`while ${kind} is backing off and there is no other, requests are refused at once instead of waiting for capacity`, async () => {
    fixture.stop();
    await start(true);
    const backingOff = await addServer('i-1', askingForBackOff(), fields);
    const firstAnswer = fixture.call(request);
    await timers.advanceUntil(() =>
      fixture.lines.some(({ event }) => event === GATEWAY_EVENTS.requestRefused),
    );
    assert.equal((await firstAnswer).status, 503);
    const answer = await fixture.call(request);
    assert.equal(answer.status, 503);
    assert.equal(runsAt(backingOff).length, 1);
    const waitMs = Number(answer.headers['retry-after']) * 1_000;
    assert.ok(waitMs > 0.5 * BACK_OFF_MS && waitMs <= 1.1 * 1.5 * BACK_OFF_MS, `${waitMs}`);
  });
}
