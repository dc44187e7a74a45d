/** What a gateway believes of configuration and servers, and how it stops. */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { TABLES } from '../../platform/names.js';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { deferred } from './support/deferred.js';
import { configuration, GatewayFixture, route } from './support/fixture.js';
import { ManualTimers } from './support/manual-timers.js';
import { answering, type ServedRequest } from './support/server-stand-in.js';

let fixture: GatewayFixture;

beforeEach(async () => {
  fixture = new GatewayFixture();
});

afterEach(() => fixture.stop());

function inForce(version: number): Promise<void> {
  return fixture.logged(
    GATEWAY_EVENTS.configurationInForce,
    (fields) => fields.configurationVersion === version,
  );
}

test('a new configuration takes effect, an older one never does', async () => {
  await fixture.start();
  fixture.store.putConfiguration(configuration(5, [route({})]));
  await inForce(5);
  fixture.store.putConfiguration(configuration(9, [route({ pathPrefix: '/new/' })]));
  await inForce(9);
  assert.equal((await fixture.call({ path: '/tiles/1' })).status, 404);
  fixture.store.putConfiguration(configuration(7, [route({})]));
  await fixture.logged(GATEWAY_EVENTS.configurationOlder);
  assert.equal((await fixture.call({ path: '/tiles/1' })).status, 404);
});

test('a malformed configuration is said and the last good one stays', async () => {
  await fixture.start();
  fixture.store.putConfiguration(configuration(5, [route({})]));
  await inForce(5);
  fixture.store.putConfiguration({ version: 6, routes: 'none' });
  await fixture.logged(GATEWAY_EVENTS.configurationMalformed);
  assert.equal((await fixture.call({ path: '/nowhere/' })).status, 404);
  assert.equal(
    (await fixture.call({ path: '/tiles/1', headers: { 'X-Deadline-Ms': '50' } })).status,
    503,
  );
});

test('when the history is lost the table is read whole, and what changed meanwhile is found', async () => {
  await fixture.start();
  fixture.store.putConfiguration(configuration(5, [route({})]));
  await inForce(5);
  fixture.store.forgetHistory();
  fixture.store.putConfiguration(configuration(6, [route({ pathPrefix: '/new/' })]));
  await fixture.logged(GATEWAY_EVENTS.historyLost);
  await inForce(6);
});

test('while the store refuses, what is known stays in force; then the watch goes on', async () => {
  await fixture.start();
  fixture.store.putConfiguration(configuration(5, [route({})]));
  await inForce(5);
  await fixture.addServer('i-1', answering(200, 'ok'));
  await fixture.logged(GATEWAY_EVENTS.serverAdded);
  await fixture.logged(GATEWAY_EVENTS.crashTableRead);
  fixture.store.fault = 'refuse';
  fixture.store.forgetHistory();
  await fixture.logged(GATEWAY_EVENTS.watchLost);
  assert.equal((await fixture.call({ path: '/tiles/1' })).status, 200);
  fixture.store.fault = 'none';
  await fixture.logged(GATEWAY_EVENTS.watchRegained);
  fixture.store.putConfiguration(configuration(6, [route({})]));
  await inForce(6);
});

test('a server that drains, or is no longer listed, gets nothing new', async () => {
  await fixture.start();
  fixture.store.putConfiguration(configuration(5, [route({})]));
  await inForce(5);
  const leaving = await fixture.addServer('i-1', answering(200, 'leaving'));
  const gone = await fixture.addServer('i-2', answering(200, 'gone'));
  await fixture.addServer('i-3', answering(200, 'staying'));
  await fixture.logged(GATEWAY_EVENTS.serverAdded, (fields) => fields.server === 'i-3');
  fixture.listServer('i-1', leaving, { state: 'draining' });
  fixture.store.remove(TABLES.servers, 'i-2');
  await fixture.logged(GATEWAY_EVENTS.serverChanged, (fields) => fields.server === 'i-1');
  await fixture.logged(GATEWAY_EVENTS.serverRemoved, (fields) => fields.server === 'i-2');
  for (let count = 0; count < 6; count += 1) {
    assert.equal((await fixture.call({ path: '/tiles/1' })).body, 'staying');
  }
  assert.equal(gone.seen.length, 0);
});

test('a server row that is none is said and passed over', async () => {
  await fixture.start();
  fixture.store.putServer('i-1', { service: 'viewer' });
  await fixture.logged(GATEWAY_EVENTS.serverMalformed, (fields) => fields.server === 'i-1');
});

test('a stopping gateway is not ready, serves what comes, and ends when all is answered', async () => {
  const timers = new ManualTimers();
  await fixture.start(timers);
  fixture.store.putConfiguration(configuration(5, [route({ timeoutMs: 60_000 })]));
  await inForce(5);
  const arrived = deferred<ServedRequest>();
  await fixture.addServer('i-1', (served) => arrived.resolve(served));
  await fixture.logged(GATEWAY_EVENTS.serverAdded);
  assert.equal(await fixture.readiness(), 200);
  const stopped = fixture.gateway.stop();
  assert.equal(await fixture.readiness(), 503);
  const pending = fixture.call({ path: '/tiles/1' });
  const { seen, response } = await arrived.promise;
  timers.advance(2_600);
  const id = String(seen.headers['x-attempt-id']);
  response.writeHead(200, { 'X-Attempt-Id': id, 'X-Response-Stamp': 's' }).end('late');
  const answer = await pending;
  assert.equal(answer.body, 'late');
  assert.equal(answer.headers.connection, 'close');
  timers.advance(50);
  timers.advance(50);
  await fixture.logged(GATEWAY_EVENTS.stopped, (fields) => fields.inFlight === 0);
  await stopped;
});
