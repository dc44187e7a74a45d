/** Holding of requests until a server has capacity, through a complete gateway over TCP, and with holding switched off. */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { DEFAULT_LOAD_DECISIONS, SYSTEM_TIMERS } from '../../src/shell/gateway/index.js';
import { configuration, GatewayFixture, route } from './support/fixture.js';
import { answering, rejectingAsNotExecuted, type Script } from './support/server-stand-in.js';

/** A route whose requests can be held until a server's back-off period has ended. */
const HOLDABLE_ROUTE = route({ timeoutMs: 20_000, targetLatencyMs: 8_000 });

let fixture: GatewayFixture;

beforeEach(() => {
  fixture = new GatewayFixture();
});

afterEach(() => fixture.stop());

async function startWith(waiting: boolean): Promise<void> {
  await fixture.start(SYSTEM_TIMERS, undefined, { ...DEFAULT_LOAD_DECISIONS, waiting });
  fixture.store.putConfiguration(configuration(1, [HOLDABLE_ROUTE]));
  await fixture.logged(GATEWAY_EVENTS.configurationInForce);
}

/** Rejects the first call and answers later ones. */
function rejectingFirst(): Script {
  let calls = 0;
  return (served) => {
    calls += 1;
    const script = calls === 1 ? rejectingAsNotExecuted : answering(200, 'served');
    script(served);
  };
}

async function addRejectingFirst() {
  const server = await fixture.addServer('i-1', rejectingFirst());
  await fixture.logged(GATEWAY_EVENTS.serverAdded);
  return server;
}

test('a request that may run only once waits for the server that rejected it, and is then served', async () => {
  await startWith(true);
  const server = await addRejectingFirst();
  const answer = await fixture.call({ path: '/tiles/1' });
  assert.equal(answer.status, 200);
  assert.equal(answer.body, 'served');
  assert.equal(server.seen.length, 2);
  await fixture.logged(GATEWAY_EVENTS.requestWaited, ({ request }) => request === 'attempt-1');
});

test('a held request goes to a server that is listed in the meantime', async () => {
  await startWith(true);
  const rejecting = await fixture.addServer('i-1', rejectingAsNotExecuted);
  await fixture.logged(GATEWAY_EVENTS.serverAdded);
  const answer = fixture.call({ path: '/tiles/1' });
  await fixture.logged(GATEWAY_EVENTS.requestWaits);
  const added = await fixture.addServer('i-2', answering(200, 'from the new one'));
  assert.equal((await answer).body, 'from the new one');
  assert.equal(added.seen.length, 1);
  assert.ok(rejecting.seen.length > 0);
});

test('with waiting switched off a rejected request is refused at once and no request is held', async () => {
  await startWith(false);
  const server = await addRejectingFirst();
  const answer = await fixture.call({ path: '/tiles/1' });
  assert.equal(answer.status, 503);
  assert.equal(server.seen.length, 1);
  assert.ok(fixture.lines.every(({ event }) => event !== GATEWAY_EVENTS.requestWaits));
});
