/**
 * A part of a prompt that crashes each engine that begins to write an answer on it: requests that hold it come at any
 * daemon, no two alike, beside sound ones that share their other parts. Each was new work to every daemon and crashed two
 * engines: 55 and 46 of them in one day.
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
} from './support/fixture.js';
import {
  engine,
  rejectingAsNotExecuted,
  type ServedRequest,
  type ServerStandIn,
} from './support/server-stand-in.js';

const DAEMONS = ['front-1', 'front-2', 'front-3'];
const ENGINES = 14;
/** Ends of servers under one part, and the requests with it that may reach servers after them. */
const MAX_CRASHES = 5;
const MAX_LATER_ARRIVALS = 3;
const CRASHING_REQUESTS = 12;
/** The body of a request that its engine has not begun to answer. */
const HELD_BODY = 'held';
const CRASHING_PARTS = ['bad', 'bad2'];

let fixture: GatewayFixture;
let startedEngines: number;
let crashedIds: string[];
let sent: number;
/** Requests that reached an engine, for each crashing part. */
let arrivals: Map<string, number>;
/** The engine that has the held request, and takes no other with a crashing part. */
let holdingId: string;
let atEngine: ReturnType<typeof deferred<ServedRequest>>;

beforeEach(() => {
  fixture = new GatewayFixture();
  crashedIds = [];
  startedEngines = 0;
  sent = 0;
  arrivals = new Map();
  holdingId = '';
  atEngine = deferred();
});

afterEach(() => fixture.stop());

/** Starts an engine that crashes inside the first event of an answer to a crashing part; another one takes its place. */
async function addEngine(): Promise<string> {
  startedEngines += 1;
  const id = `engine-${startedEngines}`;
  const serve = engine(3);
  const server: ServerStandIn = await fixture.addServer(
    id,
    (served) => {
      const parts = String(served.seen.headers['x-prompt-prefix']).split(/[:,]/);
      const crashing = CRASHING_PARTS.find((part) => parts.includes(part));
      if (crashing === undefined) return serve(served);
      if (served.seen.body === HELD_BODY) {
        holdingId = id;
        return atEngine.resolve(served);
      }
      if (id === holdingId) return rejectingAsNotExecuted(served);
      arrivals.set(crashing, (arrivals.get(crashing) ?? 0) + 1);
      crashedIds.push(id);
      served.response.writeHead(200, {
        'X-Attempt-Id': String(served.seen.headers['x-attempt-id']),
        'X-Response-Stamp': 'stamp',
      });
      served.response.write('id: 1\ndata: pi', () => {
        server.stop();
        fixture.store.remove('servers', id);
        void addEngine();
      });
    },
    { service: 'reader', stage: 'decode' },
  );
  return id;
}

async function atDaemon(name: string): Promise<void> {
  await fixture.logged(GATEWAY_EVENTS.configurationInForce, (_, daemon) => daemon === name);
}

/** Resolves once each daemon lists the engines that run, and no others. */
async function allListed(): Promise<void> {
  const ids = Array.from({ length: startedEngines }, (_, index) => `engine-${index + 1}`);
  for (const name of DAEMONS) {
    const isOf = (id: string) => (fields: object, daemon: string) =>
      daemon === name && 'server' in fields && fields.server === id;
    for (const id of ids) await fixture.logged(GATEWAY_EVENTS.serverAdded, isOf(id));
    for (const id of crashedIds) await fixture.logged(GATEWAY_EVENTS.serverRemoved, isOf(id));
  }
}

async function startFleet(): Promise<readonly number[]> {
  const ports: number[] = [];
  for (const name of DAEMONS) ports.push(await fixture.addDaemon(name));
  fixture.store.putConfiguration(configuration(1, [RESUMABLE_ROUTE]));
  await Promise.all(Array.from({ length: ENGINES }, addEngine));
  await allListed();
  for (const name of DAEMONS) {
    await atDaemon(name);
    await fixture.logged(
      GATEWAY_EVENTS.fleetSizeChanged,
      (fields, daemon) => daemon === name && fields.daemons === DAEMONS.length,
    );
  }
  return ports;
}

/** Sends a request whose body and last part no other one has. */
function send(port: number, sharedParts: string, body = `question ${sent}`): Promise<CallerAnswer> {
  sent += 1;
  const headers = {
    'X-Model': 'm',
    'X-Token-Count': '300,4',
    'X-Prompt-Prefix': `${sharedParts},u${sent}:20`,
    'X-Attempt-Id': `attempt-${sent}`,
  };
  return fixture.call({ path: '/check/1', headers, body, port });
}

/** Sends crashing requests to the daemons in turn, each after a sound one that has begun at the same daemon. */
async function sendCrashing(ports: readonly number[], partsOf: (index: number) => string) {
  const answers: CallerAnswer[] = [];
  for (let index = 0; index < CRASHING_REQUESTS; index += 1) {
    const port = ports[index % ports.length] ?? 0;
    const sound = await send(port, 'sys:200,shared:60');
    assert.equal(sound.status, 200, `a sound request before crashing request ${index}`);
    answers.push(await send(port, partsOf(index)));
    await allListed();
  }
  return answers;
}

function assertFewArrivals(): void {
  for (const [part, count] of arrivals) {
    assert.ok(
      count <= MAX_CRASHES + MAX_LATER_ARRIVALS,
      `${count} requests with the part "${part}" reached engines; ${crashedIds.length} engines crashed`,
    );
  }
}

for (const [where, parts] of [
  ['in the middle, after a part that all requests share', 'sys:200,bad:80'],
  ['first, before a part that sound requests hold too', 'bad:80,shared:60'],
  ['second, between parts that sound requests hold too', 'sys:200,bad:80,shared:60'],
  ['third, after parts that sound requests hold too', 'sys:200,shared:60,bad:80'],
] as const) {
  test(`a part of a prompt that crashes engines, ${where}, is not sent again by any daemon after a few crashes`, async () => {
    const ports = await startFleet();
    const answers = await sendCrashing(ports, () => parts);
    assertFewArrivals();
    assert.deepEqual(
      answers.slice(-3).map(({ status }) => status),
      [503, 503, 503],
      'requests with the part are refused at once as not run',
    );
    for (const port of ports) assert.equal((await send(port, 'sys:200')).status, 200);
  });
}

test('two parts that crash engines at the same time are told apart, each after a few crashes', async () => {
  const ports = await startFleet();
  await sendCrashing(ports, (index) =>
    index % 2 === 0 ? 'sys:200,bad:80' : 'sys:200,shared:60,bad2:40',
  );
  assertFewArrivals();
});

test('a daemon that starts later does not send a part that crashed engines before', async () => {
  const ports = await startFleet();
  await sendCrashing(ports, () => 'sys:200,bad:80');
  const port = await fixture.addDaemon('front-4');
  await atDaemon('front-4');
  const before = arrivals.get('bad') ?? 0;
  for (let index = 0; index < CRASHING_REQUESTS; index += 1) await send(port, 'sys:200,bad:80');
  assert.equal((arrivals.get('bad') ?? 0) - before, 0);
  assertFewArrivals();
});

test('a request with a crashing part that waits at an engine is cancelled there once the part is quarantined', async () => {
  const ports = await startFleet();
  const [port = 0] = ports;
  assert.equal((await send(port, 'sys:200')).status, 200);
  const held = send(port, 'sys:200,bad:80', HELD_BODY);
  const { closed } = await atEngine.promise;
  await sendCrashing(ports, () => 'sys:200,bad:80');
  await closed;
  const answer = await held;
  assert.equal(answer.status, 502);
  assert.match(answer.body, /the part bad of this prompt/);
});
