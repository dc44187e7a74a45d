/**
 * Streams with neither a length nor chunks, which end with their connection: one that ends inside an event was broken off
 * and told as whole, as was one whose connection was reset after an event.
 */
import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { configuration, GatewayFixture, READ_ROUTE, RESUMABLE_ROUTE } from './support/fixture.js';
import {
  rejectingAsNotExecuted,
  type Script,
  type ServedRequest,
  type ServerStandIn,
  stamped,
} from './support/server-stand-in.js';

const HEAD = [
  'Host: labels.example',
  'X-Attempt-Id: a-1',
  'X-Model: m',
  'X-Token-Count: 30,4',
  'Connection: close',
];
const FIRST = 'id: 1\ndata: piece 1\n\n';
const SECOND = 'id: 2\ndata: piece 2\n\n';
const TORN = 'id: 2\ndata: pie';

let fixture: GatewayFixture;

beforeEach(() => {
  fixture = new GatewayFixture();
});

afterEach(() => fixture.stop());

/** Sends a body without a length or chunks, and then ends or resets the connection. */
function sendUnframed(
  { seen, socket }: ServedRequest,
  body: string,
  ending: 'end' | 'reset' = 'end',
): void {
  const headers = Object.entries({ ...stamped(seen), 'Content-Type': 'text/event-stream' });
  const head = ['HTTP/1.1 200 OK', ...headers.map(([name, value]) => `${name}: ${value}`)];
  socket.write(`${head.join('\r\n')}\r\n\r\n${body}`, () => {
    if (ending === 'end') socket.end();
    else setImmediate(() => socket.resetAndDestroy());
  });
}

/** The servers in the order of the scripts. */
let servers: ServerStandIn[];

async function start(
  scripts: readonly Script[],
  routes: readonly unknown[] = [RESUMABLE_ROUTE, READ_ROUTE],
): Promise<void> {
  await fixture.start();
  fixture.store.putConfiguration(configuration(1, routes));
  await fixture.logged(GATEWAY_EVENTS.configurationInForce);
  servers = [];
  for (const [index, script] of scripts.entries()) {
    const id = `i-${index}`;
    servers.push(await fixture.addServer(id, script, { service: 'reader', stage: 'decode' }));
    await fixture.logged(GATEWAY_EVENTS.serverAdded, ({ server }) => server === id);
  }
  await fixture.logged(GATEWAY_EVENTS.crashTableRead);
}

/** Ends a server with all its connections, as a crash does; the system closes them in the ordinary way. */
function crash(socket: Socket): void {
  const crashed = servers.find(({ address }) => address.endsWith(`:${socket.localPort}`));
  crashed?.stop();
  socket.end();
}

/** Everything that a caller receives until its connection ends; rejects if that is reset. */
async function call(path: string): Promise<string> {
  const socket = connect(fixture.callersPort, '127.0.0.1');
  const head = [`POST ${path} HTTP/1.1`, ...HEAD, 'Content-Length: 0'];
  socket.write(`${head.join('\r\n')}\r\n\r\n`);
  const chunks: Buffer[] = [];
  for await (const chunk of socket) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

/** Sends `first` to the first request that comes, whichever engine gets it, and the second event to the one after it. */
function tornThenResumed(first: string): Script {
  let requests = 0;
  return (served) => {
    if (served.seen.method !== 'POST') return rejectingAsNotExecuted(served);
    requests += 1;
    if (requests === 1) return sendUnframed(served, first);
    assert.equal(served.seen.headers['last-event-id'], '1');
    sendUnframed(served, SECOND);
  };
}

test('a stream without length or chunks that ends after an event is delivered whole', async () => {
  await start([(served) => sendUnframed(served, FIRST + SECOND)]);
  for (const path of ['/check/1', '/read/1']) {
    const answer = await call(path);
    assert.ok(answer.endsWith(`\r\n\r\n${FIRST}${SECOND}`), answer);
  }
});

test('a stream without length or chunks that ends inside an event is resumed at another engine', async () => {
  const script = tornThenResumed(FIRST + TORN);
  await start([script, script]);
  const answer = await call('/check/1');
  assert.ok(answer.endsWith(`\r\n\r\n${FIRST}${SECOND}`), answer);
});

for (const [how, path, send] of [
  [
    'ends inside an event',
    '/read/1',
    (served: ServedRequest) => sendUnframed(served, FIRST + TORN),
  ],
  [
    'is reset after an event',
    '/read/1',
    (served: ServedRequest) => sendUnframed(served, FIRST, 'reset'),
  ],
  [
    'is reset after an event at each engine',
    '/check/1',
    (served: ServedRequest) => sendUnframed(served, FIRST, 'reset'),
  ],
] as const) {
  test(`a stream without length or chunks that ${how} and cannot go on is not told as whole`, async () => {
    await start([send]);
    await assert.rejects(call(path), /ECONNRESET/);
    await fixture.logged(GATEWAY_EVENTS.requestFailed, ({ request }) => request === 'a-1');
  });
}

/** A stream's next event, and then the crash of its server. */
function crashingInTurn(framings: readonly ('chunks' | 'close')[]): Script {
  let requests = 0;
  return (served) => {
    const { seen, socket, response } = served;
    if (seen.method !== 'POST') return rejectingAsNotExecuted(served);
    const framing = framings[requests];
    requests += 1;
    const event = `id: ${requests}\ndata: piece ${requests}\n\n`;
    const head = { ...stamped(seen), 'Content-Type': 'text/event-stream' };
    if (framing === 'chunks') {
      response.writeHead(200, head);
      response.write(event, () => crash(socket));
      return;
    }
    const lines = Object.entries(head).map(([name, value]) => `${name}: ${value}`);
    const text = ['HTTP/1.1 200 OK', ...lines, '', event].join('\r\n');
    socket.write(text, () => crash(socket));
  };
}

// Guards against a stream that ends as complete when the server that resumed it crashes.
test('a stream in chunks whose second server sends no length and crashes between two events lacks its end', async () => {
  const script = crashingInTurn(['chunks', 'close']);
  await start([script, script]);
  const answer = await call('/check/1');
  for (const event of [1, 2]) assert.ok(answer.includes(`data: piece ${event}\n`), answer);
  assert.ok(!answer.includes('\r\n0\r\n'), answer);
});

// Guards against a truncated stream that looks complete, where no server can go on with it.
test('a stream without length or chunks whose server crashes between two events is reset', async () => {
  const script = crashingInTurn(['close']);
  await start([script, script]);
  await assert.rejects(call('/read/1'), /ECONNRESET/);
});

const EMPTY: Script = (served) => {
  if (served.seen.method !== 'POST') return rejectingAsNotExecuted(served);
  sendUnframed(served, '');
};

// Guards against an empty success of a server that closes its connection after the head.
test('a stream without length or chunks that ends before its first event is not told as whole', async () => {
  await start([EMPTY, EMPTY]);
  for (const path of ['/read/1', '/check/1']) {
    const answer = await call(path);
    assert.match(answer, /^HTTP\/1\.1 502 /, path);
  }
});

test('a stream without length or chunks that ends before its first event is run at another engine', async () => {
  const scripts: Script[] = [EMPTY, (served) => sendUnframed(served, FIRST + SECOND)];
  const script: Script = (served) =>
    served.seen.method === 'POST' ? scripts.shift()?.(served) : rejectingAsNotExecuted(served);
  await start([script, script]);
  const answer = await call('/check/1');
  assert.ok(answer.endsWith(`\r\n\r\n${FIRST}${SECOND}`), answer);
});

test('a stream that broke after its last event and has none left at another engine is whole', async () => {
  const scripts: Script[] = [(served) => sendUnframed(served, FIRST + TORN), EMPTY];
  const script: Script = (served) =>
    served.seen.method === 'POST' ? scripts.shift()?.(served) : rejectingAsNotExecuted(served);
  await start([script, script]);
  const answer = await call('/check/1');
  assert.ok(answer.endsWith(`\r\n\r\n${FIRST}`), answer);
});
