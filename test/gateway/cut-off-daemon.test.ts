/**
 * Guards against requests that fail at a daemon without a path to any server while other daemons have one, and against
 * other daemons and requests that suffer from what such a daemon concludes.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
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
import { type Cut, ServerLinks } from './support/server-links.js';
import { answering, engine, type Script, type ServerStandIn } from './support/server-stand-in.js';

const IDEMPOTENT = route({
  name: 'thumbs',
  pathPrefix: '/thumbs/',
  kind: 'idempotent',
  attempts: 2,
});
/** Its requests do not time out while a server holds them. */
const PATIENT = route({ name: 'scans', pathPrefix: '/scans/', timeoutMs: 600_000 });
const CUTS: readonly Cut[] = ['new connections are refused', 'all connections are reset'];
const REQUESTS: readonly (readonly [string, CallerRequest])[] = [
  ['that may run once', { path: '/tiles/1', body: 'sheet' }],
  ['that may be repeated', { path: '/thumbs/1' }],
  ['for a stream', SHORT_REQUEST],
  ['with a long prompt', LONG_REQUEST],
];
/** Requests before the cut, which leave kept connections, and in it. */
const MANY = 12;
/** Until a daemon sends to servers again that failed. */
const SEVERAL_SECONDS_MS = 5_000;
const ALL_EVENTS = [1, 2, 3].map((id) => `id: ${id}\ndata: piece ${id}\n\n`).join('');

let fixture: GatewayFixture;
let timers: ManualTimers;
let links: ServerLinks;
let cutOffPort: number;
let otherPort: number;
let viewers: ServerStandIn[];
let nextId = 0;

beforeEach(async () => {
  fixture = new GatewayFixture();
  timers = new ManualTimers();
  links = new ServerLinks();
  cutOffPort = await fixture.addDaemon('front-1', timers, { links });
  otherPort = await fixture.addDaemon('front-2', timers);
  fixture.store.putConfiguration(
    configuration(1, [route({}), IDEMPOTENT, PATIENT, READ_ROUTE, RESUMABLE_ROUTE]),
  );
  viewers = [];
  for (const id of ['v-1', 'v-2', 'v-3', 'v-4']) {
    viewers.push(await fixture.addServer(id, answering(200, 'served')));
  }
  const reader = (id: string, stage: string) =>
    fixture.addServer(id, engine(3), { service: 'reader', stage });
  for (const id of ['p-1', 'p-2']) await reader(id, 'prefill');
  for (const id of ['d-1', 'd-2', 'd-3']) await reader(id, 'decode');
  await timers.advanceUntil(() => knowAllServers() && knowEachOther());
});

afterEach(() => {
  fixture.stop();
  links.stop();
});

function knowAllServers(): boolean {
  const added = fixture.lines.filter(({ event }) => event === GATEWAY_EVENTS.serverAdded);
  return added.length === 2 * 9;
}

function knowEachOther(): boolean {
  const daemons = fixture.lines.filter(
    ({ event, fields }) => event === GATEWAY_EVENTS.fleetSizeChanged && fields.daemons === 2,
  );
  return new Set(daemons.map(({ daemon }) => daemon)).size === 2;
}

/** Sends a request with an id of its own, and lets the time pass until it is answered. */
async function call(request: CallerRequest) {
  nextId += 1;
  let isOver = false;
  const headers = { ...request.headers, 'X-Attempt-Id': `a-${nextId}` };
  const answer = fixture.call({ port: cutOffPort, ...request, headers }).finally(() => {
    isOver = true;
  });
  await timers.advanceUntil(() => isOver);
  return answer;
}

async function callMany(request: CallerRequest): Promise<number[]> {
  const statuses: number[] = [];
  for (let sent = 0; sent < MANY; sent += 1) statuses.push((await call(request)).status);
  return statuses;
}

for (const cut of CUTS) {
  for (const [kind, request] of REQUESTS) {
    test(`requests ${kind} are served at a daemon that is cut off from all servers (${cut})`, async () => {
      await callMany(request);
      links.cut(cut);
      // The requests that find out about the cut may fail.
      await callMany(request);
      const statuses = await callMany(request);
      assert.deepEqual(statuses, Array(MANY).fill(200));
      const isStream = request.path.startsWith('/read/') || request.path.startsWith('/check/');
      assert.equal((await call(request)).body, isStream ? ALL_EVENTS : 'served');
    });
  }
}

test('a request whose connections are cut again and again is not taken for one that crashes servers', async () => {
  const request = { path: '/scans/1', body: 'same' };
  const hold: Script = () => undefined;
  const arrivals = () => viewers.reduce((sum, { seen }) => sum + seen.length, 0);
  for (let cuts = 1; cuts <= 2; cuts += 1) {
    for (const viewer of viewers) viewer.script = hold;
    const held = call(request);
    await timers.advanceUntil(() => arrivals() === cuts);
    links.cut('all connections are reset');
    assert.equal((await held).status, 502);
    await links.restore();
    timers.advance(SEVERAL_SECONDS_MS);
  }
  for (const viewer of viewers) viewer.script = answering(200, 'served');
  for (const port of [cutOffPort, otherPort]) {
    assert.equal((await call({ ...request, port })).status, 200);
  }
});
