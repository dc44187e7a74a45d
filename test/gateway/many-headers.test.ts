/** Guards against headers that are dropped without a word, as node:http does beyond 2,000 of them. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import http, { type IncomingMessage, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { configuration, GatewayFixture, route } from './support/fixture.js';
import { callRaw } from './support/raw-caller.js';

/** Names of three characters without a value: seven bytes each, as they are counted. */
const FITTING_HEADERS = 2_300;
const TOO_MANY_HEADERS = 2_400;
const OWN_HEADERS = ['Host: labels.example', 'X-Attempt-Id: attempt-1'];

let fixture: GatewayFixture;
let server: Server;
let seen: IncomingMessage[];

beforeEach(async () => {
  seen = [];
  fixture = new GatewayFixture();
  server = http.createServer({ maxHeaderSize: 131_072 }, (request, response) => {
    const id = request.headers['x-attempt-id'];
    if (id !== undefined) seen.push(request);
    response.writeHead(200, { 'X-Attempt-Id': String(id), 'X-Response-Stamp': 'stamp' }).end('ok');
  });
  server.maxHeadersCount = 0;
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  await fixture.start();
  fixture.store.putConfiguration(configuration(1, [route({})]));
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const row = { service: 'viewer', address, zone: 'a', slots: 6, state: 'ready', sequence: 1 };
  fixture.store.putServer('i-1', row);
  await fixture.logged(GATEWAY_EVENTS.serverAdded);
  await fixture.logged(GATEWAY_EVENTS.crashTableRead);
});

afterEach(() => {
  fixture.stop();
  server.closeAllConnections();
  server.close();
});

function headerNames(count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `z${(index + 36 ** 2).toString(36).slice(1)}`);
}

async function callWith(names: readonly string[]) {
  const headers = names.map((name) => `${name}:`);
  const lines = ['GET /tiles/1 HTTP/1.1', ...OWN_HEADERS, ...headers];
  return callRaw(fixture.callersPort, lines);
}

test('a request with thousands of short headers within the limit is forwarded with all of them', async () => {
  const names = headerNames(FITTING_HEADERS);
  const { status } = await callWith(names);
  assert.equal(status, 200);
  const received = seen[0]?.rawHeaders.filter((_, index) => index % 2 === 0) ?? [];
  assert.deepEqual(
    received.filter((name) => name.startsWith('z')),
    names,
  );
});

test('a request with more short headers than the limit allows is rejected, not shortened', async () => {
  const { status } = await callWith(headerNames(TOO_MANY_HEADERS));
  assert.equal(status, 431);
  assert.equal(seen.length, 0);
});
