/**
 * Answers that have no body whatever their headers say (RFC 9112 section 6.3): to HEAD, and with status 204 or 304. Without a
 * length they passed for answers that a close may have cut.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { configuration, GatewayFixture, route } from './support/fixture.js';
import { callRaw, type RawAnswer } from './support/raw-caller.js';
import {
  rejectingAsNotExecuted,
  type Script,
  type SeenRequest,
  type ServerStandIn,
  stamped,
} from './support/server-stand-in.js';

const ROUTES = [
  route({}),
  route({ name: 'thumbs', pathPrefix: '/thumbs/', kind: 'idempotent', attempts: 2 }),
];
const BODILESS = [
  ['HEAD', 200],
  ['POST', 204],
  ['POST', 304],
] as const;

let fixture: GatewayFixture;
let servers: ServerStandIn[];

beforeEach(() => {
  fixture = new GatewayFixture();
});

afterEach(() => fixture.stop());

async function start(script: Script): Promise<void> {
  await fixture.start();
  fixture.store.putConfiguration(configuration(1, ROUTES));
  await fixture.logged(GATEWAY_EVENTS.configurationInForce);
  servers = [];
  for (const id of ['v-1', 'v-2']) {
    servers.push(await fixture.addServer(id, script));
    await fixture.logged(GATEWAY_EVENTS.serverAdded, ({ server }) => server === id);
  }
  await fixture.logged(GATEWAY_EVENTS.crashTableRead);
}

/** Answers callers' requests with a head alone, and closes the connection after it. */
function head(status: number, lines: readonly string[]): Script {
  return (served) => {
    const { seen, socket } = served;
    if (seen.headers['x-attempt-id'] === undefined) return rejectingAsNotExecuted(served);
    const own = Object.entries(stamped(seen)).map(([name, value]) => `${name}: ${value}`);
    socket.end([`HTTP/1.1 ${status} OK`, ...own, ...lines, '', ''].join('\r\n'));
  };
}

function call(method: string, path: string): Promise<RawAnswer> {
  const own = ['Host: labels.example', 'X-Attempt-Id: a-1'];
  return callRaw(fixture.callersPort, [`${method} ${path} HTTP/1.1`, ...own, 'Content-Length: 0']);
}

function runs(): readonly SeenRequest[] {
  const seen = servers.flatMap((server) => server.seen);
  return seen.filter(({ headers }) => headers['x-attempt-id'] !== undefined);
}

for (const [method, status] of BODILESS) {
  // Guards against a second run of a request whose answer is complete.
  test(`an answer to ${method} with status ${status} is complete with its head, and its request runs once`, async () => {
    await start(head(status, []));
    const answer = await call(method, '/thumbs/1');
    assert.deepEqual([answer.status, answer.looksWhole], [status, true]);
    assert.doesNotMatch(answer.head, /content-length|transfer-encoding/);
    assert.equal(runs().length, 1);
  });
}

test('an answer to HEAD keeps the length that its server names, which no body follows', async () => {
  await start(head(200, ['Content-Length: 120']));
  for (const path of ['/tiles/1', '/thumbs/1']) {
    const answer = await call('HEAD', path);
    assert.deepEqual([answer.status, answer.looksWhole], [200, true]);
    assert.match(answer.head, /^content-length: 120$/m);
  }
});

test('an answer with a length of 0 is complete, and its request runs once', async () => {
  await start(head(200, ['Content-Length: 0']));
  const answer = await call('POST', '/thumbs/1');
  assert.deepEqual([answer.status, answer.body, answer.looksWhole], [200, '', true]);
  assert.match(answer.head, /^content-length: 0$/m);
  assert.equal(runs().length, 1);
});
