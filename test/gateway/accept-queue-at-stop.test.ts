/** Connections that wait to be accepted as a stop closes the listener: closing it resets those that are left in its queue. */
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { type GatewayFixture, route } from './support/fixture.js';
import type { ManualTimers } from './support/manual-timers.js';
import { answering } from './support/server-stand-in.js';
import { StoppingDaemon } from './support/stopping-daemon.js';

/** The listener closes 2.6 s after the signal. */
const SHORTLY_BEFORE_CLOSE_MS = 2_590;
const PAST_CLOSE_MS = 100;
const CONNECTIONS = 20;

let fixture: GatewayFixture;
let timers: ManualTimers;

beforeEach(async () => {
  const daemon = new StoppingDaemon();
  ({ fixture, timers } = daemon);
  await daemon.start([route({})]);
  await daemon.addServer('i-1', answering(200, 'served'));
});

afterEach(() => fixture.stop());

/** Opens a connection with a request; resolves with what came on it until its end. */
function send(id: number): Promise<string> {
  const socket = connect(fixture.callersPort, '127.0.0.1');
  const head = ['Host: labels.example', `X-Attempt-Id: a-${id}`, 'Content-Length: 0'];
  socket.write(['POST /tiles/1 HTTP/1.1', ...head, '', ''].join('\r\n'));
  return new Promise((resolve) => {
    let received = '';
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString('latin1');
    });
    socket.on('error', () => undefined);
    socket.once('close', () => resolve(received));
  });
}

// The event loop accepts one connection in a turn.
test('all connections that wait to be accepted as the listener closes get an answer', async () => {
  void fixture.stopDaemon('front-1');
  await timers.advanceBy(SHORTLY_BEFORE_CLOSE_MS);
  const answers = Array.from({ length: CONNECTIONS }, (_, index) => send(index));
  await new Promise((resolve) => process.nextTick(resolve));
  timers.advance(PAST_CLOSE_MS);
  await timers.advanceUntil(() =>
    fixture.lines.some(({ event }) => event === GATEWAY_EVENTS.stopped),
  );
  const unanswered = (await Promise.all(answers)).filter(
    (answer) => !answer.startsWith('HTTP/1.1 '),
  );
  assert.equal(unanswered.length, 0);
});
