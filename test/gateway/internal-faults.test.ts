/** A fault of the code, such as an exception on input that nobody expected, ended the daemon with all requests in flight. */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import type { LogEvent, LogFields } from '../../src/core/logging/log-event.js';
import type { PlatformAdapter, RequestCodec } from '../../src/shell/gateway/index.js';
import { runInBackground, runLoopInBackground } from '../../src/shell/gateway/internal-faults.js';
import {
  configuration,
  GatewayFixture,
  READ_ROUTE,
  route,
  SHORT_REQUEST,
} from './support/fixture.js';
import { ManualTimers } from './support/manual-timers.js';
import { answering, engine, type Script } from './support/server-stand-in.js';

const ROUTES = [route({}), READ_ROUTE];

let fixture: GatewayFixture;

beforeEach(() => {
  fixture = new GatewayFixture();
});

afterEach(() => fixture.stop());

async function addServer(id: string, script: Script, fields: object = {}): Promise<void> {
  await fixture.addServer(id, script, fields);
  await fixture.logged(GATEWAY_EVENTS.serverAdded, ({ server }) => server === id);
}

/** A platform whose codec throws where `replaced` says. */
function faultyPlatform(replaced: Partial<RequestCodec>) {
  const adapt = (adapter: PlatformAdapter): PlatformAdapter => ({
    ...adapter,
    requests: { ...adapter.requests, ...replaced },
  });
  return { links: { adapt } };
}

const fault = () => {
  throw new Error('a fault of the code');
};

for (const [place, replaced, status] of [
  ['before the request is sent', { backendHeaders: fault }, 502],
  ['as the answer is read', { readAvailability: fault }, 502],
  ['as the request is admitted', { apiKey: fault }, 500],
] as const) {
  // Guards against an exception that ends the process or leaves its request without an answer.
  test(`an exception ${place} ends that request with one answer`, async () => {
    const port = await fixture.addDaemon('front-1', undefined, faultyPlatform(replaced));
    fixture.store.putConfiguration(configuration(1, ROUTES));
    await fixture.logged(GATEWAY_EVENTS.configurationInForce);
    await addServer('i-1', answering(200, 'served'));
    await addServer('i-2', engine(3), { service: 'reader', stage: 'decode' });
    for (const path of ['/tiles/1', '/read/1']) {
      const answer = await fixture.call({ path, port, headers: SHORT_REQUEST.headers });
      assert.equal(answer.status, status, path);
    }
    const isNamed = ({ request, stack }: LogFields) =>
      request === 'attempt-1' && String(stack).includes('a fault of the code');
    await fixture.logged(GATEWAY_EVENTS.internalFault, isNamed);
    await fixture.stopDaemon('front-1');
    await fixture.logged(GATEWAY_EVENTS.stopped, ({ inFlight }) => inFlight === 0);
  });
}

// Guards against the end of the process by a promise that nobody awaits.
test('work in the background that fails is logged', async () => {
  const lines: [LogEvent, LogFields | undefined][] = [];
  const log = { write: (event: LogEvent, fields?: LogFields) => lines.push([event, fields]) };
  runInBackground(log, 'a task', Promise.reject(new Error('broken')));
  await new Promise((resolve) => setImmediate(resolve));
  assert.deepEqual(
    lines.map(([event, fields]) => [event, fields?.task, fields?.fault]),
    [[GATEWAY_EVENTS.internalFault, 'a task', 'broken']],
  );
});

// Guards against a duty that one fault ends for good.
test('a loop in the background goes on after a fault', async () => {
  const timers = new ManualTimers();
  let runs = 0;
  const loop = async () => {
    runs += 1;
    if (runs === 1) throw new Error('broken');
  };
  runLoopInBackground({ log: { write: () => undefined }, timers }, 'a loop', loop);
  await new Promise((resolve) => setImmediate(resolve));
  timers.advance(1_000);
  assert.equal(runs, 2);
});
