/** Model requests through a complete gateway over TCP: prefill with hand-over to a decode engine, fallbacks, streams and resuming. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import type { GatewaySettings } from '../../src/shell/gateway/index.js';
import { deferred } from './support/deferred.js';
import {
  configuration,
  GatewayFixture,
  LONG_REQUEST,
  READ_ROUTE,
  RESUMABLE_ROUTE,
  SHORT_REQUEST,
} from './support/fixture.js';
import { ManualTimers } from './support/manual-timers.js';
import {
  engine,
  rejectingAsNotExecuted,
  type ServedRequest,
  type ServerStandIn,
  stamped,
} from './support/server-stand-in.js';

const ALL_EVENTS = [1, 2, 3].map((id) => `id: ${id}\ndata: piece ${id}\n\n`).join('');

type RetryBudgetSettings = GatewaySettings['retryBudget'];

let fixture: GatewayFixture;

async function startFixture(retryBudget?: RetryBudgetSettings): Promise<void> {
  fixture = new GatewayFixture();
  await fixture.start(undefined, retryBudget);
  fixture.store.putConfiguration(configuration(1, [READ_ROUTE, RESUMABLE_ROUTE]));
  await fixture.logged(GATEWAY_EVENTS.configurationInForce);
}

beforeEach(() => startFixture());

afterEach(() => fixture.stop());

async function addEngine(
  id: string,
  stage: 'prefill' | 'decode',
  script = engine(3),
): Promise<ServerStandIn> {
  const server = await fixture.addServer(id, script, { service: 'reader', stage });
  await fixture.logged(GATEWAY_EVENTS.serverAdded, (fields) => fields.server === id);
  return server;
}

/** The callers' requests that a server received, without the gateway's own calls. */
function requestsOf(server: ServerStandIn) {
  return server.seen.filter(
    (seen) => seen.url.startsWith('/read/') || seen.url.startsWith('/check/'),
  );
}

test('a long prompt is prefilled at a prefill engine and decoded at a decode engine', async () => {
  const prefill = await addEngine('i-p', 'prefill');
  const decode = await addEngine('i-d', 'decode');
  const answer = await fixture.call(LONG_REQUEST);
  assert.equal(answer.status, 200);
  assert.equal(answer.body, ALL_EVENTS);
  assert.equal(requestsOf(prefill)[0]?.headers['x-stage'], 'prefill');
  const run = requestsOf(decode)[0];
  assert.equal(run?.headers['x-kv-source'], `${prefill.address}/handle-1`);
  assert.equal(run?.headers['x-stage'], undefined);
});

test('a short prompt is prefilled by the decode engine itself', async () => {
  const prefill = await addEngine('i-p', 'prefill');
  await addEngine('i-d', 'decode');
  assert.equal((await fixture.call(SHORT_REQUEST)).body, ALL_EVENTS);
  assert.equal(requestsOf(prefill).length, 0);
});

test('when the decode engine cannot fetch the KV memory it prefills the prompt itself, and the memory is freed', async () => {
  const freed = deferred<string>();
  await addEngine('i-p', 'prefill', (served) => {
    if (served.seen.method === 'DELETE') freed.resolve(served.seen.url);
    engine(3)(served);
  });
  const decode = await addEngine('i-d', 'decode', (served) => {
    const script =
      served.seen.headers['x-kv-source'] === undefined ? engine(3) : rejectingAsNotExecuted;
    script(served);
  });
  assert.equal((await fixture.call(LONG_REQUEST)).body, ALL_EVENTS);
  assert.equal(requestsOf(decode).length, 2);
  assert.equal(requestsOf(decode)[1]?.headers['x-kv-source'], undefined);
  assert.equal(await freed.promise, '/kv-handle/handle-1');
});

test('when every prefill engine rejects the prompt, the decode engine prefills it', async () => {
  await addEngine('i-p', 'prefill', rejectingAsNotExecuted);
  await addEngine('i-d', 'decode');
  assert.equal((await fixture.call(LONG_REQUEST)).body, ALL_EVENTS);
});

test('a resumable stream that breaks inside an event is resumed at another engine', async () => {
  const first = await addEngine('i-1', 'decode', engine(3, 1));
  const second = await addEngine('i-2', 'decode', engine(3, 1));
  const takeOver = (other: ServerStandIn) => {
    other.script = engine(3);
  };
  first.script = (served) => {
    takeOver(second);
    engine(3, 1)(served);
  };
  second.script = (served) => {
    takeOver(first);
    engine(3, 1)(served);
  };
  const answer = await fixture.call(SHORT_REQUEST);
  assert.equal(answer.body, ALL_EVENTS);
  assert.ok(answer.isComplete);
  const resumed = [...requestsOf(first), ...requestsOf(second)].map(
    (seen) => seen.headers['last-event-id'],
  );
  assert.deepEqual(resumed.sort(), ['1', undefined]);
});

test('a stream that may not be resumed ends as incomplete at the caller and runs once', async () => {
  const decode = await addEngine('i-1', 'decode', engine(3, 1));
  const other = await addEngine('i-2', 'decode', engine(3, 1));
  const answer = await fixture.call(LONG_REQUEST);
  assert.equal(answer.isComplete, false);
  assert.equal(requestsOf(decode).length + requestsOf(other).length, 1);
});

test('without any engine a request is refused with a 503', async () => {
  const answer = await fixture.call(LONG_REQUEST);
  assert.equal(answer.status, 503);
  assert.ok(Number(answer.headers['retry-after']) > 0);
});

test('a run after a failed prefill counts as a retry and is not sent without a retry budget', async () => {
  fixture.stop();
  await startFixture({ ratio: 0, slack: 0 });
  await addEngine('i-p', 'prefill', ({ seen, response }) => {
    response.writeHead(500, { 'X-Attempt-Id': String(seen.headers['x-attempt-id']) }).end('no');
  });
  const decode = await addEngine('i-d', 'decode');
  const answer = await fixture.call(LONG_REQUEST);
  assert.equal(answer.status, 503);
  assert.ok(Number(answer.headers['retry-after']) > 0);
  assert.equal(requestsOf(decode).length, 0);
});

test('an engine that began to drain during the prefill gets no run', async () => {
  const reading = deferred<ServedRequest>();
  await addEngine('i-p', 'prefill', (served) => {
    if (served.seen.url.startsWith('/read/')) reading.resolve(served);
  });
  const leaving = await addEngine('i-1', 'decode');
  const staying = await addEngine('i-2', 'decode');
  const pending = fixture.call(LONG_REQUEST);
  const read = await reading.promise;
  const fields = { service: 'reader', stage: 'decode', state: 'draining' };
  fixture.listServer('i-1', leaving, fields);
  await fixture.logged(GATEWAY_EVENTS.serverChanged, ({ server }) => server === 'i-1');
  engine(3)(read);
  assert.equal((await pending).body, ALL_EVENTS);
  assert.equal(requestsOf(leaving).length, 0);
  assert.equal(requestsOf(staying).length, 1);
});

test('a stopping daemon refuses a stream that it would have to abort, and accepts one that can end in time', async () => {
  fixture.stop();
  const timers = new ManualTimers();
  fixture = new GatewayFixture();
  await fixture.start(timers);
  fixture.store.putConfiguration(configuration(1, [READ_ROUTE, RESUMABLE_ROUTE]));
  await fixture.logged(GATEWAY_EVENTS.configurationInForce);
  const slow = deferred<ServedRequest>();
  const decode = await addEngine('i-d', 'decode', (served) => {
    if (served.seen.url.startsWith('/check/')) slow.resolve(served);
  });
  const first = fixture.open(SHORT_REQUEST);
  const { seen, response } = await slow.promise;
  response.writeHead(200, stamped(seen));
  response.write('id: 1\ndata: piece 1\n\n');
  const [stream] = (await once(first, 'response')) as [IncomingMessage];
  await once(stream, 'data');
  timers.advance(2_000);
  response.end('id: 2\ndata: piece 2\n\n');
  await once(stream.resume(), 'end');
  decode.script = engine(3);
  void fixture.gateway.stop();
  assert.equal(
    (await fixture.call(SHORT_REQUEST)).body,
    ALL_EVENTS,
    'a stream that can end in time',
  );
  const long = {
    ...SHORT_REQUEST,
    headers: { ...SHORT_REQUEST.headers, 'X-Token-Count': '300,40' },
  };
  const answer = await fixture.call(long);
  assert.equal(answer.status, 503);
  assert.ok(Number(answer.headers['retry-after']) > 0);
  assert.equal(requestsOf(decode).length, 2);
});
