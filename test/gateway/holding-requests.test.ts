/** Waiting for room through a whole gateway over TCP, and without it where it is switched off. */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { DEFAULT_LOAD_DECISIONS, SYSTEM_TIMERS } from '../../src/shell/gateway/index.js';
import { configuration, GatewayFixture, route } from './support/fixture.js';
import { answering, rejectingAsNotExecuted, type Script } from './support/server-stand-in.js';

/** It can be held for long enough for a server's rest to end. */
const PATIENT = route({ timeoutMs: 20_000, targetLatencyMs: 8_000 });

let fixture: GatewayFixture;

beforeEach(() => {
  fixture = new GatewayFixture();
});

afterEach(() => fixture.stop());

async function startWith(waiting: boolean): Promise<void> {
  await fixture.start(SYSTEM_TIMERS, undefined, { ...DEFAULT_LOAD_DECISIONS, waiting });
  fixture.store.putConfiguration(configuration(1, [PATIENT]));
  await fixture.logged(GATEWAY_EVENTS.configurationInForce);
}

/** Turns the first call down and answers the next. */
function fullOnce(): Script {
  let calls = 0;
  return (served) => {
    calls += 1;
    const script = calls === 1 ? rejectingAsNotExecuted : answering(200, 'served');
    script(served);
  };
}

async function addFullOnce() {
  const server = await fixture.addServer('i-1', fullOnce());
  await fixture.logged(GATEWAY_EVENTS.serverAdded);
  return server;
}

test('a request that may run once waits for the server that turned it away, and is served', async () => {
  await startWith(true);
  const server = await addFullOnce();
  const answer = await fixture.call({ path: '/tiles/1' });
  assert.equal(answer.status, 200);
  assert.equal(answer.body, 'served');
  assert.equal(server.seen.length, 2);
  await fixture.logged(GATEWAY_EVENTS.requestWaited, ({ request }) => request === 'attempt-1');
});

test('a request that waits goes to a server that is listed meanwhile', async () => {
  await startWith(true);
  const full = await fixture.addServer('i-1', rejectingAsNotExecuted);
  await fixture.logged(GATEWAY_EVENTS.serverAdded);
  const answer = fixture.call({ path: '/tiles/1' });
  await fixture.logged(GATEWAY_EVENTS.requestWaits);
  const added = await fixture.addServer('i-2', answering(200, 'from the new one'));
  assert.equal((await answer).body, 'from the new one');
  assert.equal(added.seen.length, 1);
  assert.ok(full.seen.length > 0);
});

test('with waiting switched off it is refused as before, and nothing waits', async () => {
  await startWith(false);
  const server = await addFullOnce();
  const answer = await fixture.call({ path: '/tiles/1' });
  assert.equal(answer.status, 503);
  assert.equal(server.seen.length, 1);
  assert.ok(fixture.lines.every(({ event }) => event !== GATEWAY_EVENTS.requestWaits));
});
