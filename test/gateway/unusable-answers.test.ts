/**
 * Bytes of a server that no answer, header or path can carry ended the daemon that got them, and with it all requests in
 * flight there.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import type { LogFields } from '../../src/core/logging/log-event.js';
import {
  configuration,
  GatewayFixture,
  LONG_REQUEST,
  READ_ROUTE,
  RESUMABLE_ROUTE,
  route,
  SHORT_REQUEST,
} from './support/fixture.js';
import {
  answering,
  attemptIdOf,
  engine,
  rejectingAsNotExecuted,
  type Script,
  type SeenRequest,
  stamped,
  UNUSABLE_STATUSES,
} from './support/server-stand-in.js';

const ROUTES = [
  route({}),
  route({ name: 'thumbs', pathPrefix: '/thumbs/', kind: 'idempotent', attempts: 2 }),
  READ_ROUTE,
  RESUMABLE_ROUTE,
];
/** Handles by what is wrong with them; the first one is what a byte that is no UTF-8 decodes to. */
const UNUSABLE_HANDLES = {
  'a byte that is no UTF-8': '3fa\ufffdc4',
  'a line break': '3fa\r\nX-Stage: prefill',
  'a control character': '3fa\u0001c4',
  'a character beyond latin1': '3fa\u0159c4',
  'a slash': '3fa/c4',
  'a blank': '3fa c4',
  'no characters': '',
  '100,000 characters': 'a'.repeat(100_000),
} as const;
const UNUSABLE_EVENT_IDS = {
  'a control character': '1\u0001',
  'a blank at its end': '1 ',
  'no characters': '',
  '100,000 characters': '1'.repeat(100_000),
} as const;

const REPEATED_CALLS = 30;

let fixture: GatewayFixture;

beforeEach(() => {
  fixture = new GatewayFixture();
});

afterEach(() => fixture.stop());

async function start(): Promise<void> {
  await fixture.start();
  fixture.store.putConfiguration(configuration(1, ROUTES));
  await fixture.logged(GATEWAY_EVENTS.configurationInForce);
}

async function addServer(id: string, script: Script, fields: object = {}) {
  const server = await fixture.addServer(id, script, fields);
  await fixture.logged(GATEWAY_EVENTS.serverAdded, ({ server }) => server === id);
  return server;
}

/** Answers callers' requests with a status that a status line can have and an answer cannot. */
function withStatus(status: string): Script {
  return (served) => {
    const { seen, socket } = served;
    const id = seen.headers['x-attempt-id'];
    if (id === undefined) return rejectingAsNotExecuted(served);
    const head = [`HTTP/1.1 ${status} OK`, `X-Attempt-Id: ${id}`, 'X-Response-Stamp: s'];
    socket.end(`${head.join('\r\n')}\r\nContent-Length: 2\r\n\r\nno`);
  };
}

function prefillsWith(handle: string): Script {
  return ({ seen, response }) => {
    const body = JSON.stringify({ kvHandle: handle, tokens: 10, version: 1 });
    response.writeHead(200, attemptIdOf(seen)).end(body);
  };
}

/** The runs that a server saw, without the daemon's own calls. */
function runsOf(seen: readonly SeenRequest[]): readonly SeenRequest[] {
  return seen.filter(({ headers }) => headers['x-attempt-id'] !== undefined);
}

/** A request with a long prompt is served by a decode engine that gets no memory of the prefill. */
async function assertRunsWithoutPrefill(prefilling: Script): Promise<void> {
  await addServer('i-1', prefilling, { service: 'reader', stage: 'prefill' });
  const decode = await addServer('i-2', engine(3), { service: 'reader', stage: 'decode' });
  const answer = await fixture.call(LONG_REQUEST);
  assert.equal(answer.status, 200);
  assert.ok(answer.isComplete);
  assert.deepEqual(
    runsOf(decode.seen).map(({ headers }) => headers['x-kv-source']),
    [undefined],
  );
}

for (const status of UNUSABLE_STATUSES) {
  // Guards against an answer whose status Node.js refuses to write, or which only announces another one.
  test(`an answer with status ${status} is none, for requests to web and model servers`, async () => {
    await start();
    await addServer('i-1', withStatus(status));
    await addServer('i-2', withStatus(status), { service: 'reader', stage: 'decode' });
    for (const path of ['/tiles/1', '/thumbs/1', '/read/1', '/check/1']) {
      const answer = await fixture.call({ path, headers: SHORT_REQUEST.headers });
      assert.equal(answer.status, 502, path);
    }
    const isNamed = ({ server, result }: LogFields) => server === 'i-1' && result === 'broken';
    await fixture.logged(GATEWAY_EVENTS.attemptFailed, isNamed);
  });

  test(`a repeatable request that got status ${status} is answered by a second server`, async () => {
    await start();
    await addServer('i-1', withStatus(status), { zone: 'a' });
    await addServer('i-2', answering(200, 'served'), { zone: 'b' });
    assert.equal((await fixture.call({ path: '/thumbs/1' })).body, 'served');
  });
}

for (const status of UNUSABLE_STATUSES) {
  // Guards against memory of a prefill that did not end, and against a server that is chosen again and again for nothing.
  test(`a prefill that got status ${status} is none, and the request runs without it`, async () => {
    await start();
    await assertRunsWithoutPrefill(withStatus(status));
  });

  test(`a server that answers with status ${status} is left to a sound one, and its requests count as no crash`, async () => {
    await start();
    const faulty = await addServer('i-1', withStatus(status), { zone: 'a' });
    await addServer('i-2', answering(200, 'served'), { zone: 'b' });
    const bodies: string[] = [];
    for (let call = 0; call < REPEATED_CALLS; call += 1) {
      bodies.push((await fixture.call({ path: '/thumbs/1' })).body);
    }
    assert.deepEqual(new Set(bodies), new Set(['served']));
    const runs = runsOf(faulty.seen).length;
    assert.ok(runs <= REPEATED_CALLS / 2, `${runs} of ${REPEATED_CALLS} calls went there`);
    const quarantines = fixture.lines.filter(
      ({ event }) => event === GATEWAY_EVENTS.requestQuarantined,
    );
    assert.deepEqual(quarantines, []);
  });
}

/** Answers callers' requests with a line of the head that Node.js reads and refuses to write. */
function withLine(line: string): Script {
  return (served) => {
    const { seen, socket } = served;
    const id = seen.headers['x-attempt-id'];
    if (id === undefined) return rejectingAsNotExecuted(served);
    const head = [`HTTP/1.1 200 OK`, `X-Attempt-Id: ${id}`, 'X-Response-Stamp: s', line];
    socket.end(`${head.join('\r\n')}\r\n\r\n5\r\nwhole\r\n0\r\n\r\n`);
  };
}

for (const line of ['Transf r-Encoding: chunked', 'Cont nt-Length: 20']) {
  // Guards against the framing of an answer that is lost with the name of its header.
  test(`an answer with the line "${line}" is none, for requests to web and model servers`, async () => {
    await start();
    await addServer('i-1', withLine(line));
    await addServer('i-2', withLine(line), { service: 'reader', stage: 'decode' });
    for (const path of ['/tiles/1', '/thumbs/1', '/read/1', '/check/1']) {
      const answer = await fixture.call({ path, headers: SHORT_REQUEST.headers });
      assert.equal(answer.status, 502, path);
    }
    assert.ok(!fixture.lines.some(({ event }) => event === GATEWAY_EVENTS.internalFault));
  });
}

test('a repeatable request that got a header whose name is no token is answered by a second server', async () => {
  await start();
  await addServer('i-1', withLine('Cont nt-Length: 20'), { zone: 'a' });
  await addServer('i-2', answering(200, 'served'), { zone: 'b' });
  assert.equal((await fixture.call({ path: '/thumbs/1' })).body, 'served');
});

for (const [problem, handle] of Object.entries(UNUSABLE_HANDLES)) {
  // Guards against an X-Kv-Source or a path that cannot be sent.
  test(`a handle with ${problem} is none, and the request runs without it`, async () => {
    await start();
    await assertRunsWithoutPrefill(prefillsWith(handle));
  });
}

for (const [problem, eventId] of Object.entries(UNUSABLE_EVENT_IDS)) {
  // Guards against a Last-Event-Id that cannot be sent, or that would begin the stream again.
  test(`a stream that breaks after an id with ${problem} ends as incomplete`, async () => {
    await start();
    const breaking: Script = ({ seen, response }) => {
      response.writeHead(200, { ...stamped(seen), 'Content-Type': 'text/event-stream' });
      response.write(Buffer.from(`id: 0\ndata: a\n\nid: ${eventId}\ndata: b\n\n`, 'latin1'), () =>
        response.destroy(),
      );
    };
    const engines = await Promise.all(
      ['i-1', 'i-2'].map((id) => addServer(id, breaking, { service: 'reader', stage: 'decode' })),
    );
    const answer = await fixture.call(SHORT_REQUEST);
    assert.equal(answer.isComplete, false);
    assert.equal(engines.flatMap(({ seen }) => runsOf(seen)).length, 1);
  });
}

// Guards against the end of the watch of an engine's cache, which would leave its entries as they were.
test('cache events that are no events end no watch', async () => {
  await start();
  let polls = 0;
  const odd: readonly unknown[] = [
    [1, '+', '', { toString: 1 }, { valueOf: 1 }, 'm'],
    [],
    [2, '+', '', 'aa', -5],
  ];
  await addServer(
    'i-1',
    (served) => {
      if (!served.seen.url.startsWith('/kv-events')) return rejectingAsNotExecuted(served);
      polls += 1;
      const body = JSON.stringify({ epoch: 'e', nextToken: polls, events: odd });
      served.response.writeHead(200).end(body);
    },
    { service: 'reader', stage: 'decode' },
  );
  while (polls < 3) await new Promise((resolve) => setImmediate(resolve));
  assert.ok(!fixture.lines.some(({ event }) => event === GATEWAY_EVENTS.internalFault));
});
