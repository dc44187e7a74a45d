/**
 * Guards against requests that run on more servers than their route allows: an answer that belongs to another send was
 * taken for the rejection of this one, so a run did not count, and prefills after the first one did not count either.
 */
import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { deferred } from './support/deferred.js';
import {
  type CallerRequest,
  configuration,
  GatewayFixture,
  LONG_REQUEST,
  RESUMABLE_ROUTE,
  route,
  SHORT_REQUEST,
} from './support/fixture.js';
import {
  answering,
  engine,
  rejectingAsNotExecuted,
  type Script,
  type ServerStandIn,
} from './support/server-stand-in.js';

const ATTEMPTS = 2;
const IDEMPOTENT = route({
  name: 'thumbs',
  pathPrefix: '/thumbs/',
  kind: 'idempotent',
  attempts: ATTEMPTS,
});
const THREE_ATTEMPTS = { ...RESUMABLE_ROUTE, name: 'thrice', pathPrefix: '/thrice/', attempts: 3 };
const SERVERS = 5;

let fixture: GatewayFixture;

beforeEach(async () => {
  fixture = new GatewayFixture();
  await fixture.start();
  const routes = [route({}), IDEMPOTENT, RESUMABLE_ROUTE, THREE_ATTEMPTS];
  fixture.store.putConfiguration(configuration(1, routes));
  await fixture.logged(GATEWAY_EVENTS.configurationInForce);
});

afterEach(() => fixture.stop());

async function addServer(id: string, script: Script, fields: object = {}): Promise<ServerStandIn> {
  const server = await fixture.addServer(id, script, fields);
  await fixture.logged(GATEWAY_EVENTS.serverAdded, ({ server: added }) => added === id);
  return server;
}

async function addServers(script: Script, fields: object = {}): Promise<ServerStandIn[]> {
  const ids = Array.from({ length: SERVERS }, (_, index) => `i-${index}`);
  return Promise.all(ids.map((id) => addServer(id, script, fields)));
}

/** How often callers' requests arrived at servers; with `step`, prefills or runs only. */
function arrivals(servers: readonly ServerStandIn[], step?: 'prefill' | 'run'): number {
  const seen = servers.flatMap((server) => server.seen);
  return seen.filter(({ headers }) => {
    const isPrefill = headers['x-stage'] === 'prefill';
    const isWanted = step === undefined || (step === 'prefill') === isPrefill;
    return headers['x-attempt-id'] !== undefined && isWanted;
  }).length;
}

/** Rejects with the id of another request, as a surplus answer does that arrives in the place of the next one. */
const rejectingAnother: Script = ({ response }) => {
  response.writeHead(503, { 'X-Attempt-Id': 'other', 'X-Not-Executed': '1' }).end();
};

for (const [kind, request, allowed, fields] of [
  ['may run once', { path: '/tiles/1' }, 1, {}],
  ['may be repeated', { path: '/thumbs/1' }, ATTEMPTS, {}],
  ['is a resumable stream', SHORT_REQUEST, ATTEMPTS, { service: 'reader', stage: 'decode' }],
] as const) {
  test(`a rejection of another request does not take a run off the count of a request that ${kind}`, async () => {
    const servers = await addServers(rejectingAnother, fields);
    const answer = await fixture.call(request);
    assert.equal(arrivals(servers), allowed);
    assert.equal(answer.status, 502);
  });
}

test('a request is not refused as not run because of the rejection of another request', async () => {
  await addServer('i-1', rejectingAnother);
  const answer = await fixture.call({ path: '/tiles/1' });
  assert.equal(answer.status, 502);
});

test('an answer to another request reports nothing on its server', async () => {
  const reports = { 'Server-Leaving': '1', 'Server-Limit': '7', 'X-Server-Load': '6,9,6' };
  let isFirst = true;
  const server = await addServer('i-1', (served) => {
    if (!isFirst) return answering(200, 'served')(served);
    isFirst = false;
    const headers = { 'X-Attempt-Id': 'other', 'X-Not-Executed': '1', 'Retry-After': '3' };
    served.response.writeHead(503, { ...headers, ...reports }).end();
  });
  await fixture.call({ path: '/thumbs/1' });
  const reported = [
    GATEWAY_EVENTS.serverSaidLeaving,
    GATEWAY_EVENTS.serverAskedForRest,
    GATEWAY_EVENTS.serverNamedLimit,
  ];
  assert.deepEqual(
    fixture.lines.filter(({ event }) => reported.includes(event as (typeof reported)[number])),
    [],
  );
  const next = await fixture.call({ path: '/thumbs/2', headers: { 'X-Attempt-Id': 'next' } });
  assert.equal(next.status, 200);
  assert.equal(arrivals([server]), 2);
});

test("an answer to a caller's request reports nothing in the place of the answer to a poll", async () => {
  const polled = deferred<void>();
  const surplus: Script = ({ seen, response }) => {
    if (seen.headers['x-attempt-id'] === undefined) polled.resolve();
    response.writeHead(200, { 'X-Attempt-Id': 'other', 'Server-Leaving': '1' }).end('{}');
  };
  await addServer('i-1', surplus, { service: 'reader', stage: 'decode' });
  await polled.promise;
  await fixture.logged(GATEWAY_EVENTS.newsLost);
  const leaving = fixture.lines.filter(({ event }) => event === GATEWAY_EVENTS.serverSaidLeaving);
  assert.deepEqual(leaving, []);
});

/** A server whose connections deliver the rejection of a request again, in the place of its next answer there. */
class RepeatingServer {
  /** Requests that it ran. */
  runs = 0;
  readonly #rejected = new Map<Socket, string | string[]>();
  readonly #rejects: Script;

  constructor(rejects: Script) {
    this.#rejects = rejects;
  }

  readonly script = (serve: Script): Script => {
    return (served) => {
      const { seen, socket } = served;
      const id = seen.headers['x-attempt-id'];
      if (id === undefined) return serve(served);
      if (this.#rejected.get(socket) === id) {
        this.runs += 1;
        rejectingAsNotExecuted(served);
      } else if (this.#rejected.size === 0) {
        this.#rejected.set(socket, id);
        served.response.setHeader('Keep-Alive', 'timeout=5');
        this.#rejects(served);
      } else {
        this.runs += 1;
        serve(served);
      }
    };
  };
}

for (const [kind, request, serve, fields] of [
  ['a web server', { path: '/thumbs/1' }, answering(200, 'served'), {}],
  [
    'an engine',
    { ...LONG_REQUEST, path: '/check/1' },
    engine(3),
    { service: 'reader', stage: 'decode' },
  ],
] as const satisfies readonly (readonly [string, CallerRequest, Script, object])[]) {
  test(`a surplus copy of a rejection is not taken for the next answer of ${kind} to the same request`, async () => {
    const repeating = new RepeatingServer(rejectingAsNotExecuted);
    await addServer('i-1', repeating.script(serve), fields);
    if (kind === 'an engine') {
      await addServer('i-2', engine(3), { service: 'reader', stage: 'prefill' });
    }
    const answer = await fixture.call(request);
    assert.equal(repeating.runs, 1);
    assert.equal(answer.status, 200);
  });
}

for (const [path, attempts] of [
  ['/check/1', 2],
  ['/thrice/1', 3],
] as const) {
  test(`a stream of ${attempts} attempts that is prefilled again each time it breaks is sent to no more servers`, async () => {
    const breaking = engine(9, 1);
    const decoding = await Promise.all(
      [1, 2, 3, 4].map((id) =>
        addServer(`d-${id}`, breaking, { service: 'reader', stage: 'decode' }),
      ),
    );
    const prefilling = await Promise.all(
      [1, 2, 3, 4].map((id) =>
        addServer(`p-${id}`, engine(9), { service: 'reader', stage: 'prefill' }),
      ),
    );
    await fixture.call({ ...LONG_REQUEST, path });
    // The first prefill does not count.
    const furtherPrefills = Math.max(0, arrivals(prefilling, 'prefill') - 1);
    assert.equal(arrivals(decoding, 'run') + furtherPrefills, attempts);
  });
}
