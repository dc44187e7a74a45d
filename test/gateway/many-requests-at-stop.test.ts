/** Guards against a stop that leaves too little time to answer many requests before the platform kills the process. */
import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { STOP_EVENTS } from '../../src/core/logging/catalogue/stops.js';
import { type GatewayFixture, route } from './support/fixture.js';
import type { ManualTimers } from './support/manual-timers.js';
import { answering } from './support/server-stand-in.js';
import { StoppingDaemon } from './support/stopping-daemon.js';

const CUTS_AFTER_MS = 7_300;
/** The steps of virtual time, and the time between two looks at the requests. */
const TOLERANCE_MS = 60;
const BODY_BYTES = 10;

let fixture: GatewayFixture;
let timers: ManualTimers;
let sockets: Socket[];

beforeEach(async () => {
  const daemon = new StoppingDaemon();
  ({ fixture, timers } = daemon);
  sockets = [];
  await daemon.start([route({ timeoutMs: 60_000 })]);
  await daemon.addServer('i-1', answering(200, 'served'));
});

afterEach(() => {
  for (const socket of sockets) socket.destroy();
  fixture.stop();
});

/** Sends the head of a request whose body does not come. */
function sendHead(id: number): void {
  const socket = connect(fixture.callersPort, '127.0.0.1');
  sockets.push(socket);
  const head = ['Host: labels.example', `X-Attempt-Id: a-${id}`, `Content-Length: ${BODY_BYTES}`];
  socket.on('error', () => undefined).resume();
  socket.write(['POST /tiles/1 HTTP/1.1', ...head, '', ''].join('\r\n'));
}

/** Stops the daemon with so many requests; returns how long after the signal it ended them. */
async function endsAfterMs(requests: number): Promise<number> {
  for (let id = 0; id < requests; id += 1) sendHead(id);
  void fixture.stopDaemon('front-1');
  await timers.advanceUntil(() =>
    fixture.lines.some(({ event }) => event === GATEWAY_EVENTS.stopped),
  );
  const cut = fixture.lines.filter(({ event }) => event === STOP_EVENTS.requestCutByStop);
  assert.equal(cut.length, requests);
  return Number(cut[0]?.fields.sinceStopMs);
}

test('few requests have their whole time', async () => {
  assert.ok((await endsAfterMs(20)) >= CUTS_AFTER_MS);
});

test('many requests are ended sooner, so that each of them gets its answer', async () => {
  const afterMs = await endsAfterMs(400);
  assert.ok(afterMs >= CUTS_AFTER_MS - 200 && afterMs <= CUTS_AFTER_MS - 200 + TOLERANCE_MS);
});
