/**
 * Engines ended one after the other, in bursts of fifteen seconds, and were back some seconds later. Under each of them ran
 * the same piece of work, which its callers sent again at any daemon: 6033 `the stream broke off` 40 to 180 ms after its
 * 200, for one prompt at i-de01dfdd78 (36.20 s), i-3dea09e4b1 (36.36 s, sent there by the same daemon 1 ms later), then at
 * two more by another daemon (36.57 s, 36.75 s), at five more by 40.84 s. Nothing remembered the work once a try had ended: a
 * broken run was held against the engine alone, and the next try began afresh at whichever daemon got it. After three
 * engines had ended it was sent to engines 12 and 13 times more; 22 and 28 engines ended.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { deferred } from './support/deferred.js';
import {
  type CallerAnswer,
  configuration,
  GatewayFixture,
  RESUMABLE_ROUTE,
  route,
} from './support/fixture.js';
import {
  answering,
  engine,
  type ServedRequest,
  type ServerStandIn,
  stamped,
} from './support/server-stand-in.js';

const PROMPT = { 'X-Model': 'm', 'X-Token-Count': '300,4', 'X-Prompt-Prefix': 'cc:300' };
const CRASHING_BODY = 'ends whoever runs it';
const DAEMONS = ['front-1', 'front-2', 'front-3'];
const ENGINES = 12;
const SLIP = route({ name: 'slip', pathPrefix: '/slip/', kind: 'idempotent', attempts: 2 });
const CONFIRM = route({ name: 'confirm', pathPrefix: '/confirm/', kind: 'non_idempotent' });
/** Engines that may end under one request before no more are lost to it. */
const MOST_CRASHES = 3;

let fixture: GatewayFixture;
let endedEngines: string[];
let tries: number;

beforeEach(() => {
  fixture = new GatewayFixture();
  endedEngines = [];
  tries = 0;
});

afterEach(() => fixture.stop());

/** An engine that ends with all its connections once it has begun to run the crashing body. */
async function addEngine(id: string): Promise<void> {
  const serve = engine(3);
  const server: ServerStandIn = await fixture.addServer(
    id,
    (served) => {
      if (served.seen.body !== CRASHING_BODY) return serve(served);
      endedEngines.push(id);
      served.response.write('id: 1\ndata: pi', () => server.stop());
    },
    { service: 'reader', stage: 'decode' },
  );
}

/** A web server that ends before it answers the crashing body. */
async function addWebServer(id: string): Promise<void> {
  const server: ServerStandIn = await fixture.addServer(id, (served) => {
    if (served.seen.body !== CRASHING_BODY) return answering(200, 'done')(served);
    endedEngines.push(id);
    server.stop();
  });
}

/** One daemon that knows some servers. */
async function startDaemon(ids: readonly string[], add: (id: string) => Promise<void>) {
  const port = await fixture.addDaemon('front-1');
  fixture.store.putConfiguration(configuration(1, [RESUMABLE_ROUTE, SLIP, CONFIRM]));
  await fixture.logged(GATEWAY_EVENTS.configurationInForce);
  await Promise.all(ids.map(add));
  for (const id of ids) {
    await fixture.logged(GATEWAY_EVENTS.serverAdded, (fields) => fields.server === id);
  }
  return port;
}

/** Daemons that know each other, the configuration and all engines. */
async function startFleet(): Promise<readonly number[]> {
  const ports: number[] = [];
  for (const name of DAEMONS) ports.push(await fixture.addDaemon(name));
  fixture.store.putConfiguration(configuration(1, [RESUMABLE_ROUTE]));
  const ids = Array.from({ length: ENGINES }, (_, index) => `engine-${index}`);
  await Promise.all(ids.map(addEngine));
  for (const name of DAEMONS) {
    const atDaemon = (fits: (fields: object) => boolean) => (fields: object, daemon: string) =>
      daemon === name && fits(fields);
    await fixture.logged(
      GATEWAY_EVENTS.configurationInForce,
      atDaemon(() => true),
    );
    for (const id of ids) {
      await fixture.logged(
        GATEWAY_EVENTS.serverAdded,
        atDaemon((fields) => 'server' in fields && fields.server === id),
      );
    }
    await fixture.logged(
      GATEWAY_EVENTS.fleetSizeChanged,
      atDaemon((fields) => 'daemons' in fields && fields.daemons === DAEMONS.length),
    );
  }
  return ports;
}

/** One more try of the same work, under an attempt id of its own. */
function tryAt(port: number, body: string, path = '/check/1'): Promise<CallerAnswer> {
  tries += 1;
  const headers = { ...PROMPT, 'X-Attempt-Id': `attempt-${tries}` };
  return fixture.call({ path, headers, body, port });
}

test('no more servers are lost to a request under which servers have ended, at whichever daemon it comes', async () => {
  const ports = await startFleet();
  for (const port of [...ports, ...ports]) await tryAt(port, CRASHING_BODY);
  assert.ok(endedEngines.length <= MOST_CRASHES, `ended: ${endedEngines.join(' ')}`);
});

test('a quarantined request is refused at once, by daemons that begin later as well', async () => {
  const port = await startDaemon(['i-1', 'i-2', 'i-3', 'i-4'], addEngine);
  assert.equal((await tryAt(port, CRASHING_BODY)).status, 502);
  const refused = await tryAt(port, CRASHING_BODY);
  assert.equal(refused.status, 503);
  assert.ok(Number(refused.headers['retry-after']) > 3_600);
  assert.match(refused.body, /servers ended while this request ran/);
  await fixture.logged(GATEWAY_EVENTS.requestRefused, (fields) => fields.fingerprint !== '');
  const laterPort = await fixture.addDaemon('front-2');
  await fixture.logged(GATEWAY_EVENTS.configurationInForce, (_, daemon) => daemon === 'front-2');
  assert.equal((await tryAt(laterPort, CRASHING_BODY)).status, 503);
  assert.deepEqual(endedEngines.length, 2);
  assert.equal((await tryAt(port, 'other work')).status, 200);
});

test('what merely ran beside it goes on at another server and is served when it comes again', async () => {
  const port = await startDaemon(['i-1'], async (id) => {
    const server: ServerStandIn = await fixture.addServer(
      id,
      ({ seen, response }) => {
        if (!seen.url.startsWith('/check/')) return engine(3)({ seen, response } as ServedRequest);
        if (seen.body === CRASHING_BODY) server.stop();
        else response.writeHead(200, stamped(seen)).write('id: 1\ndata: piece 1\n\n', startBeside);
      },
      { service: 'reader', stage: 'decode' },
    );
  });
  const crashing = deferred<Promise<CallerAnswer>>();
  const startBeside = () => crashing.resolve(tryAt(port, CRASHING_BODY));
  const beside = tryAt(port, 'other work');
  await await crashing.promise;
  await beside;
  await addEngine('i-2');
  await fixture.logged(GATEWAY_EVENTS.serverAdded, (fields) => fields.server === 'i-2');
  const again = await tryAt(port, 'other work');
  assert.equal(again.status, 200);
  assert.ok(again.isComplete);
  await fixture.logged(GATEWAY_EVENTS.requestCleared);
});

test('answers that break off at servers that live on are not held against a request', async () => {
  const port = await startDaemon(['i-1', 'i-2', 'i-3'], async (id) => {
    await fixture.addServer(id, engine(3, 1), { service: 'reader', stage: 'decode' });
  });
  for (let count = 0; count < 4; count += 1) await tryAt(port, 'broken off');
  const checked = fixture.lines.filter(({ event }) => event === GATEWAY_EVENTS.brokenRunChecked);
  assert.ok(checked.length >= 2);
  assert.ok(checked.every(({ fields }) => fields.hasEnded === false && fields.crashes === 0));
});

for (const [path, servers] of [
  ['/slip/1', 'two servers in one try'],
  ['/confirm/1', 'one server in each of two tries'],
] as const) {
  test(`a request to web servers ends ${servers}, and is refused from then on`, async () => {
    const port = await startDaemon(['i-1', 'i-2', 'i-3', 'i-4'], addWebServer);
    const statuses: number[] = [];
    for (let count = 0; count < 4; count += 1) {
      statuses.push((await tryAt(port, CRASHING_BODY, path)).status);
    }
    assert.equal(endedEngines.length, 2);
    assert.deepEqual(statuses.slice(2), [503, 503]);
    assert.equal((await tryAt(port, 'other work', path)).status, 200);
  });
}
