/** The hop between daemons, where the one that a request was forwarded to stops in its answer's head or body. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type Server, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import type { LogEvent } from '../../src/core/logging/log-event.js';
import { configuration, GatewayFixture, READ_ROUTE, route } from './support/fixture.js';
import { ManualTimers } from './support/manual-timers.js';
import { callRaw, type RawAnswer } from './support/raw-caller.js';
import { ServerLinks } from './support/server-links.js';
import { answering, UNUSABLE_STATUSES } from './support/server-stand-in.js';

const ROUTES = [
  route({ timeoutMs: 600_000 }),
  route({ name: 'thumbs', pathPrefix: '/thumbs/', kind: 'idempotent', attempts: 2 }),
  READ_ROUTE,
];
const BODY = 'id: 1\ndata: piece 1\n\n';
const OWN = 'HTTP/1.1 200 OK\r\nX-Attempt-Id: a-1\r\nX-Response-Stamp: s\r\n';
const LENGTH = `Content-Length: ${BODY.length}\r\n`;
const CHUNKS = `${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`;
const BY_CLOSE =
  'Connection: close, Threadfork-Forward-Framing\r\nThreadfork-Forward-Framing: close\r\n';
const NOT_TAKEN = 'HTTP/1.1 503 No\r\nThreadfork-Forward-Not-Taken: it stops\r\n';
/** Whole answers of a daemon to one that forwards, by path. */
const ANSWERS = {
  'with a length': ['/tiles/1', `${OWN}${LENGTH}\r\n${BODY}`],
  'with a length, which a repeatable request gets': ['/thumbs/1', `${OWN}${LENGTH}\r\n${BODY}`],
  'with a length, which a close ended at its server': [
    '/tiles/1',
    `${OWN}${BY_CLOSE}${LENGTH}\r\n${BODY}`,
  ],
  'in chunks': ['/read/1', `${OWN}Transfer-Encoding: chunked\r\n\r\n${CHUNKS}`],
  'in chunks, which a close ended at its server': [
    '/read/1',
    `${OWN}${BY_CLOSE}Transfer-Encoding: chunked\r\n\r\n${CHUNKS}`,
  ],
  'that says that it was not taken': ['/tiles/1', `${NOT_TAKEN}Content-Length: 0\r\n\r\n`],
} as const;
const ENDINGS = ['closes', 'resets'] as const;
const STATUS_UNAVAILABLE = 503;

let fixture: GatewayFixture;
let timers: ManualTimers;
let links: ServerLinks;
let callersPort: number;
let peer: Server;
let sockets: Socket[];
let sent = '';
let ending: (typeof ENDINGS)[number] = 'closes';

beforeEach(() => {
  fixture = new GatewayFixture();
  timers = new ManualTimers();
  links = new ServerLinks();
  sockets = [];
});

afterEach(() => {
  fixture.stop();
  links.stop();
  for (const socket of sockets) socket.destroy();
  peer.close();
});

function countOf(event: LogEvent): number {
  return fixture.lines.filter((line) => line.event === event).length;
}

async function call(path: string): Promise<RawAnswer> {
  const own = ['Host: labels.example', 'X-Attempt-Id: a-1', 'X-Model: m', 'X-Token-Count: 30,4'];
  return callRaw(callersPort, [`POST ${path} HTTP/1.1`, ...own, 'Content-Length: 0']);
}

/** Starts two daemons, cuts the first off from all servers, and puts a peer that sends `sent` in the second's place. */
async function start(): Promise<void> {
  callersPort = await fixture.addDaemon('front-1', timers, { links });
  await fixture.addDaemon('front-2', timers);
  fixture.store.putConfiguration(configuration(1, ROUTES));
  await fixture.addServer('v-1', answering(200, 'served'));
  await fixture.addServer('r-1', answering(200, BODY), { service: 'reader', stage: 'decode' });
  const knowEachOther = () =>
    fixture.lines.filter(
      ({ event, fields }) => event === GATEWAY_EVENTS.fleetSizeChanged && fields.daemons === 2,
    ).length === 2;
  const knowServers = () => countOf(GATEWAY_EVENTS.serverAdded) === 4;
  await timers.advanceUntil(() => knowServers() && knowEachOther());
  links.cut('all connections are reset');
  const found = ['/tiles/finds-out', '/read/finds-out'].map(call);
  await timers.advanceUntil(() => countOf(GATEWAY_EVENTS.pathLost) >= 2);
  await Promise.all(found);
  const port = fixture.forwardPortOf('front-2');
  fixture.abortDaemon('front-2');
  peer = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => cut(socket));
  });
  await listen(peer, port);
}

/** Listens once the port is free: until then, a connection that is being opened may have it. */
async function listen(listener: Server, port: number | undefined): Promise<void> {
  const isTaken = (error: NodeJS.ErrnoException): boolean => {
    assert.equal(error.code, 'EADDRINUSE');
    return true;
  };
  for (let mustWait = true; mustWait; ) {
    listener.listen(port, '127.0.0.1');
    mustWait = await once(listener, 'listening').then(() => false, isTaken);
  }
}

function cut(socket: Socket): void {
  socket.write(sent, 'latin1', () => {
    if (ending === 'closes') socket.end();
    else setImmediate(() => socket.resetAndDestroy());
  });
}

for (const [name, [path, whole]] of Object.entries(ANSWERS)) {
  // Guards against a success, or a promise that nothing ran, that the hop made of a part of an answer.
  test(`a forwarded answer ${name} and that is cut at any byte is told neither as whole nor as not run`, async () => {
    await start();
    const headEnd = whole.indexOf('\r\n\r\n') + 4;
    for (ending of ENDINGS) {
      for (let end = 0; end < whole.length; end += 1) {
        sent = whole.slice(0, end);
        const answer = await call(path);
        const what = `${end} ${ending}: ${answer.head}`;
        assert.ok(answer.status >= 500 || !answer.looksWhole, what);
        if (end < headEnd) assert.equal(answer.status, 502, what);
      }
    }
    sent = whole;
    ending = 'closes';
    const answer = await call(path);
    if (whole.startsWith(NOT_TAKEN)) assert.equal(answer.status, STATUS_UNAVAILABLE);
    else assert.deepEqual([answer.status, answer.body], [200, BODY]);
  });
}

// Guards against an answer that is no daemon's, as those frame all of theirs, and whose end only a close tells.
test('a forwarded answer with neither a length nor chunks is none', async () => {
  await start();
  for (ending of ENDINGS) {
    for (const path of ['/tiles/1', '/read/1']) {
      sent = `${OWN}\r\n${BODY}`;
      const answer = await call(path);
      assert.equal(answer.status, 502, `${path} ${ending}`);
    }
  }
});

for (const status of UNUSABLE_STATUSES) {
  // Guards against an answer without a status that is passed on as that of the request, or as a promise.
  test(`a forwarded answer with status ${status} is none`, async () => {
    await start();
    ending = 'closes';
    for (const path of ['/tiles/1', '/thumbs/1', '/read/1']) {
      for (const line of ['', 'Threadfork-Forward-Framing: close\r\n', 'X-Not-Executed: 1\r\n']) {
        sent = `HTTP/1.1 ${status} OK\r\nX-Attempt-Id: a-1\r\nX-Response-Stamp: s\r\n${line}${LENGTH}\r\n${BODY}`;
        const answer = await call(path);
        assert.equal(answer.status, 502, `${path} ${line}`);
        assert.ok(!answer.head.includes('X-Response-Stamp'), answer.head);
        assert.ok(!answer.body.includes('piece'), answer.body);
      }
    }
  });
}
