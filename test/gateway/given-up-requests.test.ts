/**
 * Guards against requests that a server receives after their daemon has given them up: the network held them, as one does
 * whose packets are lost until TCP's retransmissions pass, and delivered them when it was well again.
 */

import assert from 'node:assert/strict';
import type { ClientRequest } from 'node:http';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { Link } from '../../src/lab/network/index.js';
import { BackendConnections } from '../../src/shell/gateway/backend-connections.js';
import { ampleMemory } from './support/ample-memory.js';
import {
  type CallerRequest,
  READ_ROUTE,
  RESUMABLE_ROUTE,
  route,
  SHORT_REQUEST,
} from './support/fixture.js';
import { answering, engine, type Script, ServerStandIn } from './support/server-stand-in.js';
import { VersionedFleet } from './support/versioned-fleet.js';

const REQUESTS = 4;
/** Longer than the time-outs of the routes and the wait for a late answer. */
const GIVEN_UP_MS = 6_000;
/** Long enough for the network to deliver all that it held. */
const DELIVERED_MS = 500;
const HEDGED = route({ name: 'marks', pathPrefix: '/marks/', kind: 'idempotent', attempts: 2 });

let fleet: VersionedFleet;
let links: Link[];
/** Undo what a test has opened besides. */
let cleanups: (() => void)[];

beforeEach(async () => {
  fleet = new VersionedFleet();
  links = [];
  cleanups = [];
  await fleet.start(1, {});
  fleet.configure([route({}), HEDGED, READ_ROUTE, RESUMABLE_ROUTE]);
  await fleet.timers.advanceUntil(() => fleet.linesOf(GATEWAY_EVENTS.crashTableRead).length > 0);
  await fleet.timers.advanceUntil(
    () => fleet.linesOf(GATEWAY_EVENTS.configurationInForce).length > 1,
  );
});

afterEach(async () => {
  fleet.stop();
  for (const cleanup of cleanups) cleanup();
  await Promise.all(links.map((link) => link.close()));
});

/** A server, and a link to it. */
async function startBehindLink(script: Script) {
  const server = new ServerStandIn(script);
  await server.start();
  cleanups.push(() => server.stop());
  const [address = '', port = ''] = server.address.split(':');
  const link = await Link.open({ address, port: Number(port) });
  links.push(link);
  const { endpoint } = link;
  return { server, link, address: `${endpoint.address}:${endpoint.port}` };
}

/** Lists a server that daemons reach over a link. */
async function addBehindLink(id: string, script: Script, fields: object = {}) {
  const { server, link, address } = await startBehindLink(script);
  fleet.fixture.listServer(id, server, { ...fields, address });
  await fleet.untilKnown(id);
  return { server, link };
}

function open(request: CallerRequest): ClientRequest {
  const headers = { ...request.headers, 'X-Attempt-Id': fleet.nextId() };
  const sent = fleet.fixture.open({ ...request, port: fleet.ports[0], headers });
  sent.on('error', () => undefined);
  sent.on('response', (response) => response.on('error', () => undefined).resume());
  return sent;
}

/** How many requests of callers a server has received. */
function received(server: ServerStandIn): number {
  return server.seen.filter(({ headers }) => headers['x-attempt-id'] !== undefined).length;
}

type GiveUp = (sent: readonly ClientRequest[]) => Promise<void>;

const WAYS: readonly (readonly [string, GiveUp])[] = [
  ['their time is over', () => fleet.timers.advanceBy(GIVEN_UP_MS)],
  [
    'their callers leave',
    async (sent) => {
      for (const caller of sent) caller.destroy();
      await fleet.timers.advanceBy(GIVEN_UP_MS);
    },
  ],
  [
    'their daemon ends',
    async () => {
      fleet.abortDaemon(0);
      await fleet.timers.advanceBy(DELIVERED_MS);
    },
  ],
];

const KINDS: readonly (readonly [string, CallerRequest, Script, object])[] = [
  ['web requests', { path: '/tiles/1' }, answering(200, 'tile'), {}],
  ['streams', SHORT_REQUEST, engine(2), { service: 'reader', stage: 'decode' }],
];

for (const [kind, request, script, fields] of KINDS) {
  for (const [way, giveUp] of WAYS) {
    test(`${kind} that the network holds until ${way} never reach their server`, async () => {
      const { server, link } = await addBehindLink('held-1', script, fields);
      link.cut('to-target');
      const sent = Array.from({ length: REQUESTS }, () => open(request));
      await fleet.timers.advanceUntil(() => link.openConnections >= REQUESTS);
      await fleet.timers.advanceBy(DELIVERED_MS);
      await giveUp(sent);
      link.heal();
      await fleet.timers.advanceBy(DELIVERED_MS);
      assert.equal(received(server), 0);
    });
  }
}

test('a web request that the network holds until another server has answered never reaches the first one', async () => {
  const held = await addBehindLink('held-1', answering(200, 'mark'));
  const other = await addBehindLink('other-1', answering(200, 'mark'));
  held.link.cut('to-target');
  const sent = Array.from({ length: 2 * REQUESTS }, () => open({ path: '/marks/1' }));
  await Promise.all(
    sent.map((caller) => {
      let isAnswered = false;
      caller.once('response', () => {
        isAnswered = true;
      });
      return fleet.timers.advanceUntil(() => isAnswered);
    }),
  );
  await fleet.timers.advanceBy(DELIVERED_MS);
  held.link.heal();
  await fleet.timers.advanceBy(DELIVERED_MS);
  assert.equal(received(held.server), 0);
  assert.equal(received(other.server), 2 * REQUESTS);
});

test('a request that the network holds until it is given up never reaches the daemon that it was forwarded to', async () => {
  const { server, link, address } = await startBehindLink(answering(200, ''));
  link.cut('to-target');
  const connections = new BackendConnections(fleet.timers, ampleMemory());
  cleanups.push(() => connections.close());
  const ended = new AbortController();
  const result = connections.call({
    address,
    method: 'POST',
    path: '/',
    headers: [],
    body: Buffer.from('prompt'),
    mayKeepConnection: false,
    connectTimeoutMs: 200,
    signal: ended.signal,
  });
  await fleet.timers.advanceUntil(() => link.openConnections === 1);
  await fleet.timers.advanceBy(100);
  ended.abort();
  await result;
  await fleet.timers.advanceBy(DELIVERED_MS);
  link.heal();
  await fleet.timers.advanceBy(DELIVERED_MS);
  assert.equal(server.seen.length, 0);
});
