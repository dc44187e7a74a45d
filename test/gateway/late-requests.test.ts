/** A request that reached a stopping daemon just before it cut off what ran was sent to a server, and got no answer. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { deferred } from './support/deferred.js';
import { configuration, GatewayFixture, READ_ROUTE, route } from './support/fixture.js';
import { ManualTimers } from './support/manual-timers.js';
import {
  answering,
  rejectingAsNotExecuted,
  type ServedRequest,
  type ServerStandIn,
  stamped,
} from './support/server-stand-in.js';

const FIRST = 'id: 1\ndata: piece 1\n\n';
/** The daemon cuts off what runs 7.3 s after the signal. */
const SHORTLY_BEFORE_CUT_MS = 7_200;
const EARLY_IN_STOP_MS = 3_000;

let fixture: GatewayFixture;
let timers: ManualTimers;
let viewer: ServerStandIn;

beforeEach(async () => {
  fixture = new GatewayFixture();
  timers = new ManualTimers();
  await fixture.start(timers);
  const stream = { ...READ_ROUTE, timeoutMs: 60_000 };
  fixture.store.putConfiguration(configuration(1, [route({}), stream]));
  await fixture.logged(GATEWAY_EVENTS.configurationInForce);
  viewer = await fixture.addServer('i-1', answering(200, 'served'));
  await fixture.logged(GATEWAY_EVENTS.serverAdded);
  await fixture.logged(GATEWAY_EVENTS.crashTableRead);
});

afterEach(() => fixture.stop());

function request(path: string): string {
  const head = ['Host: labels.example', 'X-Attempt-Id: a-1', 'X-Model: m', 'X-Token-Count: 30,4'];
  return [`POST ${path} HTTP/1.1`, ...head, 'Content-Length: 0', '', ''].join('\r\n');
}

async function receive(socket: Socket, isDone: (received: string) => boolean): Promise<string> {
  let received = '';
  while (!isDone(received)) {
    const [chunk] = (await once(socket, 'data')) as [Buffer];
    received += chunk.toString('latin1');
  }
  return received;
}

/** Sends a request on a connection whose stream began before the stop, so long after the signal. */
async function sendDuringStop(afterMs: number): Promise<string> {
  const streaming = deferred<ServedRequest>();
  await fixture.addServer(
    'i-2',
    (served) => {
      if (served.seen.method !== 'POST') return rejectingAsNotExecuted(served);
      served.response.writeHead(200, stamped(served.seen));
      served.response.write(FIRST);
      streaming.resolve(served);
    },
    { service: 'reader', stage: 'decode' },
  );
  await fixture.logged(GATEWAY_EVENTS.serverAdded, ({ server }) => server === 'i-2');
  const socket = connect(fixture.callersPort, '127.0.0.1');
  socket.write(request('/read/1'));
  await receive(socket, (received) => received.includes(FIRST));
  const stopped = fixture.stopDaemon('front-1');
  await timers.advanceBy(afterMs);
  (await streaming.promise).response.end();
  await receive(socket, (received) => received.includes('0\r\n\r\n'));
  socket.write(request('/tiles/1'));
  const answer = await receive(socket, (received) => /\r\n\r\n.+/.test(received));
  socket.destroy();
  await timers.advanceUntil(() =>
    fixture.lines.some(({ event }) => event === GATEWAY_EVENTS.stopped),
  );
  await stopped;
  return answer;
}

// Guards against a request that runs and gets no answer, as its daemon ends first.
test('a request that may outlast the stop is refused at once, and not sent', async () => {
  const answer = await sendDuringStop(SHORTLY_BEFORE_CUT_MS);
  assert.match(answer, /^HTTP\/1\.1 503 /);
  assert.match(answer, /retry-after: 0\.05\r\n/i);
  assert.equal(viewer.seen.filter(({ method }) => method === 'POST').length, 0);
});

test('a request that ends well before the stop does is served', async () => {
  const answer = await sendDuringStop(EARLY_IN_STOP_MS);
  assert.match(answer, /^HTTP\/1\.1 200 /);
});
