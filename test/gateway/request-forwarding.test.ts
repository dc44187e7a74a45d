/** The hop of a request from a daemon that is cut off from the servers to one that reaches them. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import http, { type IncomingMessage } from 'node:http';
import { afterEach, beforeEach, test } from 'node:test';
import { TABLES } from '../../platform/names.js';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import type { LogEvent } from '../../src/core/logging/log-event.js';
import { deferred } from './support/deferred.js';
import {
  type CallerAnswer,
  type CallerRequest,
  configuration,
  GatewayFixture,
  RESUMABLE_ROUTE,
  route,
  SHORT_REQUEST,
} from './support/fixture.js';
import { ManualTimers } from './support/manual-timers.js';
import { ServerLinks } from './support/server-links.js';
import {
  answering,
  attemptIdOf,
  engine,
  rejectingAsNotExecuted,
  type ServedRequest,
  type ServerStandIn,
  sendCut,
  stamped,
} from './support/server-stand-in.js';

const KEY = 'key-of-leiden';
const TENANTS = [{ name: 'leiden', apiKeys: [KEY] }];
const PATIENT = route({ name: 'scans', pathPrefix: '/scans/', timeoutMs: 600_000 });
/** Its requests wait long for a free server. */
const QUEUED = route({
  name: 'queued',
  pathPrefix: '/queued/',
  timeoutMs: 600_000,
  targetLatencyMs: 40_000,
});
const SERVERS = 3;
/** As the configuration of the fixture allows. */
const MAX_BODY_BYTES = 1_000;
/** Requests of this path only let a daemon find out that it is cut off. */
const FINDS_OUT = '/tiles/finds-out/';
const BACK_OFF_S = 30;
/** Callers that have left cause no work at a server beyond this. */
const GONE_MS = 500;
/** After this time nothing is sent to a server that has said that it leaves. */
const DRAIN_MS = 2_000;

let fixture: GatewayFixture;
let timers: ManualTimers;
let links: ServerLinks[];
let ports: number[];
let viewers: ServerStandIn[];
let reader: ServerStandIn;

beforeEach(() => {
  fixture = new GatewayFixture();
  timers = new ManualTimers();
  links = [];
  ports = [];
  viewers = [];
});

afterEach(() => {
  fixture.stop();
  for (const link of links) link.stop();
});

/** Starts daemons that know each other and all servers, each with links of its own. */
async function startDaemons(count: number, tenants?: readonly unknown[]): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    const own = new ServerLinks();
    links.push(own);
    ports.push(await fixture.addDaemon(`front-${index + 1}`, timers, { links: own }));
  }
  const routes = [route({}), PATIENT, QUEUED, RESUMABLE_ROUTE];
  fixture.store.putConfiguration(configuration(1, routes, tenants));
  for (let index = 0; index < SERVERS; index += 1) {
    viewers.push(await fixture.addServer(`v-${index}`, answering(200, 'served')));
  }
  reader = await fixture.addServer('d-1', engine(3), { service: 'reader', stage: 'decode' });
  const knowServers = () => linesOf(GATEWAY_EVENTS.serverAdded).length === count * (SERVERS + 1);
  const knowDaemons = () =>
    linesOf(GATEWAY_EVENTS.fleetSizeChanged).filter(({ fields }) => fields.daemons === count)
      .length === count;
  await timers.advanceUntil(() => knowServers() && knowDaemons());
}

function linesOf(event: LogEvent) {
  return fixture.lines.filter((line) => line.event === event);
}

function linkOf(daemon: number): ServerLinks {
  const link = links[daemon];
  if (link === undefined) throw new Error(`there is no daemon ${daemon}`);
  return link;
}

async function call(request: CallerRequest) {
  let isOver = false;
  const answer = fixture.call({ port: ports[0], ...request }).finally(() => {
    isOver = true;
  });
  await timers.advanceUntil(() => isOver);
  return answer;
}

/** Cuts daemons off from all servers, and lets each find out. */
async function cutOff(...daemons: readonly number[]): Promise<void> {
  for (const daemon of daemons) linkOf(daemon).cut('all connections are reset');
  for (const daemon of daemons) {
    for (const request of [{ path: FINDS_OUT }, { ...SHORT_REQUEST, path: '/check/finds-out/' }]) {
      const id = { 'X-Attempt-Id': `${request.path}-${daemon}`, 'Api-Key': KEY };
      const headers = { ...SHORT_REQUEST.headers, ...id };
      await call({ ...request, headers, port: ports[daemon] });
    }
  }
  const lost = linesOf(GATEWAY_EVENTS.pathLost).map(
    (line) => `${line.daemon} ${line.fields.service}`,
  );
  assert.equal(new Set(lost).size, 2 * daemons.length);
}

function arrivals(): number {
  const seen = viewers.flatMap((viewer) => viewer.seen);
  return seen.filter(({ url }) => !url.includes(FINDS_OUT)).length;
}

function hold(): Promise<ServedRequest> {
  const held = deferred<ServedRequest>();
  for (const viewer of viewers) viewer.script = (served) => held.resolve(served);
  return held.promise;
}

test('a forwarded request reaches its server with the headers of the caller, and none of the hop', async () => {
  await startDaemons(2, TENANTS);
  await cutOff(0);
  const answer = await call({
    path: '/tiles/7?x=1',
    body: 'sheet',
    headers: { 'X-Custom': 'kept', 'X-Deadline-Ms': '800', 'Api-Key': KEY },
  });
  assert.equal(answer.status, 200);
  assert.equal(answer.headers['x-response-stamp'], 'stamp');
  const seen = viewers.flatMap((viewer) => viewer.seen).find(({ url }) => url === '/tiles/7?x=1');
  assert.equal(seen?.body, 'sheet');
  assert.equal(seen?.headers['x-custom'], 'kept');
  assert.equal(seen?.headers['x-tenant'], 'leiden');
  assert.ok(Number(seen?.headers['x-deadline-ms']) <= 800);
  const names = Object.keys(seen?.headers ?? {}).concat(Object.keys(answer.headers));
  assert.deepEqual(
    names.filter((name) => name.startsWith('threadfork') || name === 'api-key'),
    [],
  );
});

test('a request that its server rejects at the other daemon is refused as not run', async () => {
  await startDaemons(2);
  await cutOff(0);
  for (const viewer of viewers) viewer.script = rejectingAsNotExecuted;
  const answer = await call({ path: '/tiles/1' });
  assert.equal(answer.status, 503);
  assert.ok(Number(answer.headers['retry-after']) > 0);
});

test('a request whose hop breaks after it was sent may have run, and is not sent again', async () => {
  await startDaemons(2);
  await cutOff(0);
  const held = hold();
  const answer = call({ path: '/scans/1' });
  await held;
  fixture.abortDaemon('front-2');
  assert.equal((await answer).status, 502);
  assert.equal(arrivals(), 1);
});

test('a forwarded request whose server stops in the head of its answer may have run, and is not sent again', async () => {
  await startDaemons(2);
  await cutOff(0);
  for (const ending of ['closes', 'resets'] as const) {
    for (const viewer of viewers) {
      viewer.script = (served) => sendCut(served, 'HTTP/1.1 200 OK\r\nContent-Le', ending);
    }
    const before = arrivals();
    assert.equal((await call({ path: '/scans/1' })).status, 502);
    assert.equal(arrivals() - before, 1);
  }
});

test('a request goes on to a third daemon where the second one is gone before it was sent', async () => {
  await startDaemons(3);
  await cutOff(0);
  fixture.abortDaemon('front-2');
  for (let sent = 0; sent < 6; sent += 1) {
    const headers = { 'X-Attempt-Id': `gone-${sent}` };
    assert.equal((await call({ path: '/tiles/1', headers })).status, 200);
  }
  assert.equal(arrivals(), 6);
});

test('a request is forwarded once: where all daemons are cut off it is refused at once', async () => {
  await startDaemons(3);
  await cutOff(0, 1, 2);
  const startMs = timers.nowMs();
  const before = linesOf(GATEWAY_EVENTS.requestForwarded).length;
  const answer = await call({ path: '/tiles/1' });
  assert.equal(answer.status, 503);
  assert.ok(Number(answer.headers['retry-after']) > 0);
  assert.equal(arrivals(), 0);
  assert.ok(linesOf(GATEWAY_EVENTS.requestForwarded).length - before <= 2);
  assert.ok(timers.nowMs() - startMs < 1_000);
});

test('a daemon that is cut off too passes the request back, and a third one takes it', async () => {
  await startDaemons(3);
  await cutOff(0, 1);
  for (let sent = 0; sent < 6; sent += 1) {
    const headers = { 'X-Attempt-Id': `third-${sent}` };
    assert.equal((await call({ path: '/tiles/1', headers })).status, 200);
  }
  assert.equal(arrivals(), 6);
});

test('a request whose body a cut-off daemon passes back reaches a third one', async () => {
  await startDaemons(3);
  await cutOff(0, 1);
  for (let sent = 0; sent < 6; sent += 1) {
    const headers = { 'X-Attempt-Id': `large-${sent}` };
    const answer = await call({ path: '/tiles/1', headers, body: 'x'.repeat(MAX_BODY_BYTES) });
    assert.equal(answer.status, 200);
  }
});

test('a caller that leaves is felt at the server of its forwarded request', async () => {
  await startDaemons(2);
  await cutOff(0);
  const held = hold();
  const caller = fixture.open({ path: '/scans/1', port: ports[0] });
  caller.once('error', () => undefined);
  const served = await held;
  caller.destroy();
  const isEnded = () =>
    linesOf(GATEWAY_EVENTS.requestEnded).some(
      ({ daemon, fields }) => daemon === 'front-2' && fields.outcome === 'caller-gone',
    );
  while (!isEnded()) await new Promise((resolve) => setImmediate(resolve));
  timers.advance(GONE_MS);
  await served.closed;
  assert.equal(served.response.writableFinished, false);
});

test('a forwarded stream arrives as it is sent, and one that breaks off does not look complete', async () => {
  await startDaemons(2);
  await cutOff(0);
  const held = deferred<ServedRequest>();
  reader.script = (served) => held.resolve(served);
  const sent = fixture.open({ ...SHORT_REQUEST, port: ports[0] });
  const served = await held.promise;
  const head = { ...stamped(served.seen), 'Content-Type': 'text/event-stream' };
  served.response.writeHead(200, head);
  served.response.write('id: 1\ndata: piece 1\n\n');
  const [response] = (await once(sent, 'response')) as [IncomingMessage];
  response.once('error', () => undefined);
  const [chunk] = await once(response, 'data');
  assert.equal(String(chunk), 'id: 1\ndata: piece 1\n\n');
  reader.script = ({ socket }) => socket.destroy();
  served.response.write('id: 2\ndata: pi', () => served.response.destroy());
  await new Promise((resolve) => response.once('close', resolve));
  assert.equal(response.complete, false);
});

test('an answer whose end only the close of its connection marks is forwarded as such', async () => {
  await startDaemons(2);
  await cutOff(0);
  for (const viewer of viewers) {
    viewer.script = ({ seen, socket }) => {
      const id = attemptIdOf(seen)['X-Attempt-Id'];
      socket.end(`HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Response-Stamp: s\r\n\r\npart`);
    };
  }
  const answer = await call({ path: '/tiles/1' });
  assert.equal(answer.body, 'part');
  assert.equal(answer.headers['content-length'], undefined);
  assert.equal(answer.headers['transfer-encoding'], undefined);
});

test('a stranger on the port for forwarded requests gets nothing run', async () => {
  await startDaemons(2);
  const port = fixture.forwardPortOf('front-2');
  const sent = http.request({
    host: '127.0.0.1',
    port,
    method: 'POST',
    path: '/tiles/1',
    headers: { Host: 'labels.example', 'X-Attempt-Id': 'a', 'Threadfork-Forward-Token': 'guess' },
  });
  sent.end();
  const [response] = (await once(sent, 'response')) as [IncomingMessage];
  assert.equal(response.statusCode, 403);
  assert.equal(arrivals(), 0);
});

test('once its path is back, a daemon sends to servers itself again within a second', async () => {
  await startDaemons(2);
  await cutOff(0);
  await linkOf(0).restore();
  const startMs = timers.nowMs();
  await timers.advanceUntil(() => linesOf(GATEWAY_EVENTS.pathRegained).length > 0);
  assert.ok(timers.nowMs() - startMs <= 1_000);
  const before = linesOf(GATEWAY_EVENTS.requestForwarded).length;
  assert.equal((await call({ path: '/tiles/1' })).status, 200);
  assert.equal(linesOf(GATEWAY_EVENTS.requestForwarded).length, before);
});

test('a daemon that has passed on the answer of a leaving server while it was cut off sends nothing there later', async () => {
  await startDaemons(2);
  await cutOff(0);
  for (const viewer of viewers) {
    viewer.script = ({ seen, response }) =>
      response.writeHead(200, { ...stamped(seen), 'Server-Leaving': '1' }).end('served');
  }
  const answer = await call({ path: '/tiles/1' });
  assert.equal(answer.headers['server-leaving'], '1');
  const leaving = viewers.find(({ seen }) => seen.some(({ url }) => url === '/tiles/1'));
  await linkOf(0).restore();
  await timers.advanceUntil(() => linesOf(GATEWAY_EVENTS.pathRegained).length > 0);
  await timers.advanceBy(DRAIN_MS);
  const before = leaving?.seen.length;
  for (let sent = 0; sent < 6; sent += 1) {
    await call({ path: '/tiles/1', headers: { 'X-Attempt-Id': `later-${sent}` } });
  }
  assert.equal(leaving?.seen.length, before);
});

/** Takes all viewers but one off the list. */
async function keepOnly(kept: number): Promise<void> {
  const others = viewers.map((_, index) => index).filter((index) => index !== kept);
  for (const index of others) fixture.store.remove(TABLES.servers, `v-${index}`);
  const removed = () => linesOf(GATEWAY_EVENTS.serverRemoved).length;
  await timers.advanceUntil(() => removed() === links.length * others.length);
}

test('a daemon whose forwarded request met a back-off sends nothing to that server before its end', async () => {
  await startDaemons(2);
  await cutOff(0);
  const backOff = { 'X-Not-Executed': '1', 'Retry-After': String(BACK_OFF_S) };
  for (const viewer of viewers) {
    viewer.script = ({ seen, response }) =>
      response.writeHead(503, { ...attemptIdOf(seen), ...backOff }).end();
  }
  const answer = await call({ path: '/tiles/1' });
  assert.equal(answer.status, 503);
  assert.deepEqual(
    Object.keys(answer.headers).filter((name) => name.startsWith('threadfork')),
    [],
  );
  const asked = viewers.findIndex(({ seen }) => seen.some(({ url }) => url === '/tiles/1'));
  await linkOf(0).restore();
  await timers.advanceUntil(() => linesOf(GATEWAY_EVENTS.pathRegained).length > 0);
  await keepOnly(asked);
  const before = viewers[asked]?.seen.length;
  const later = await call({ path: '/tiles/1', headers: { 'X-Attempt-Id': 'later' } });
  assert.equal(later.status, 503);
  assert.equal(viewers[asked]?.seen.length, before);
});

// Guards against a request that is cut with its hop, as the daemon that forwards it ends first.
test('a cut-off daemon that stops forwards no request that may outlast its stop', async () => {
  await startDaemons(2);
  await cutOff(0);
  void hold();
  const before = linesOf(GATEWAY_EVENTS.requestForwarded).length;
  void fixture.stopDaemon('front-1');
  const answer = await callOrNone({ path: '/scans/1', port: ports[0] });
  assert.equal(answer?.status, 503);
  assert.equal(answer?.headers['retry-after'], '0.05');
  assert.equal(arrivals(), 0);
  assert.equal(linesOf(GATEWAY_EVENTS.requestForwarded).length, before);
});

// Guards against a refusal that reaches the caller although a third daemon could take its request.
test('a request that a stopping daemon no longer takes is passed back to the daemon that forwarded it', async () => {
  await startDaemons(2);
  await cutOff(0);
  await keepOnly(0);
  const [server] = viewers;
  assert.ok(server !== undefined);
  fixture.listServer('v-0', server, { slots: 1 });
  await timers.advanceBy(1_000);
  const learning = hold();
  const first = callOrNone({ path: '/queued/1', port: ports[1] });
  const served = await learning;
  await timers.advanceBy(3_000);
  answering(200, 'served')(served);
  await first;
  const occupied = hold();
  void callOrNone({ path: '/queued/2', port: ports[1] });
  await occupied;
  const waiting = callOrNone({ path: '/queued/3', port: ports[0] });
  await timers.advanceUntil(() => linesOf(GATEWAY_EVENTS.requestWaits).length > 0);
  void fixture.stopDaemon('front-2');
  assert.equal((await waiting)?.status, 503);
  const hop = linesOf(GATEWAY_EVENTS.requestForwarded).at(-1);
  assert.equal(hop?.fields.result, 'not-taken');
});

/** The answer of a daemon that may end first; undefined where it did. */
async function callOrNone(request: CallerRequest): Promise<CallerAnswer | undefined> {
  let isOver = false;
  const answer = fixture
    .call({ ...request, headers: { 'X-Attempt-Id': request.path } })
    .catch(() => undefined)
    .finally(() => {
      isOver = true;
    });
  await timers.advanceUntil(() => isOver);
  return answer;
}

// Guards against a caller that is told nothing as the daemon that runs its request ends, or is told that it has not run.
test('a forwarded request that runs at the end of the stop of its daemon is told as one that may have run', async () => {
  await startDaemons(2);
  await cutOff(0);
  const held = hold();
  const answer = callOrNone({ path: '/scans/1', port: ports[0] });
  await held;
  void fixture.stopDaemon('front-2');
  assert.equal((await answer)?.status, 504);
  assert.equal(arrivals(), 1);
});

for (const order of [
  ['front-1', 'front-2'],
  ['front-2', 'front-1'],
]) {
  test(`a forwarded request that runs as both daemons stop, ${order[0]} first, is told as one that may have run`, async () => {
    await startDaemons(2);
    await cutOff(0);
    const held = hold();
    const answer = callOrNone({ path: '/scans/1', port: ports[0] });
    await held;
    for (const daemon of order) {
      void fixture.stopDaemon(daemon);
      await timers.advanceBy(1);
    }
    assert.equal((await answer)?.status, 504);
    assert.equal(arrivals(), 1);
  });
}

test('a forwarded stream that runs at the end of the stop of its daemon does not look complete', async () => {
  await startDaemons(2);
  await cutOff(0);
  const begun = deferred<ServedRequest>();
  reader.script = (served) => {
    served.response.writeHead(200, {
      ...stamped(served.seen),
      'Content-Type': 'text/event-stream',
    });
    served.response.write('id: 1\ndata: piece 1\n\n');
    begun.resolve(served);
  };
  const answer = callOrNone({ ...SHORT_REQUEST, port: ports[0] });
  await begun.promise;
  void fixture.stopDaemon('front-2');
  assert.equal((await answer)?.isComplete, false);
});

test('a request that comes to a cut-off daemon whose only neighbour stops is refused as not run', async () => {
  await startDaemons(2);
  await cutOff(0);
  void hold();
  void fixture.stopDaemon('front-2');
  await timers.advanceBy(1_000);
  const answer = await callOrNone({ path: '/scans/1', port: ports[0] });
  assert.equal(answer?.status, 503);
  assert.equal(arrivals(), 0);
});
