/** The dispatch grant is looked at again when a request is about to leave. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { type AddressInfo, createServer, type Socket } from 'node:net';
import { test } from 'node:test';
import type { RouteChoice } from '../../src/core/requests/index.js';
import {
  attemptOf,
  type Backend,
  call,
  completionJson,
  startHarness,
  startRawBackend,
} from './support.js';

const WHOLE = { model: 'labels', prompt: 'p' };
const GRANTED_UNTIL = 1_000;

function serveWhole(socket: Socket, text: string): void {
  const body = completionJson('whole');
  socket.end(
    `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nx-threadfork-attempt: ${attemptOf(text)}\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
  );
}

/** A backend that counts what it gets; `closed` resolves once its first connection is over. */
async function startCountingBackend() {
  const server = createServer();
  const first = once(server, 'connection');
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const closed = first.then(async ([socket]: Socket[]) => {
    assert.ok(socket !== undefined);
    socket.on('data', () => socket.destroy());
    socket.on('error', () => socket.destroy());
    await once(socket, 'close');
    return socket.bytesRead;
  });
  const { port } = server.address() as AddressInfo;
  return { closed, port, close: () => server.close() };
}

function choiceOf(backend: Backend, sendBefore: number): RouteChoice {
  const { name, address, port } = backend;
  return { kind: 'dispatch', backend: name, address, port, sendBefore };
}

test('a request whose grant ends while it connects leaves no byte and goes elsewhere', async (t) => {
  const counting = await startCountingBackend();
  const slow = { name: 'slow', address: '127.0.0.1', port: counting.port, close: async () => {} };
  const other = await startRawBackend('other', serveWhole);
  let clock = GRANTED_UNTIL - 1;
  let choices = 0;
  const harness = await startHarness({
    now: () => clock,
    choose: () => {
      choices += 1;
      if (choices > 1) return choiceOf(other, clock + 1_000);
      // Runs after the dispatch and before any connection can be open.
      queueMicrotask(() => {
        clock = GRANTED_UNTIL;
      });
      return choiceOf(slow, GRANTED_UNTIL);
    },
  });
  t.after(async () => {
    await harness.close();
    await other.close();
    counting.close();
  });
  const answer = await call(harness.port, '/v1/completions', { body: WHOLE });
  assert.equal(answer.status, 200);
  assert.equal(await counting.closed, 0);
  const reports = harness.events.flatMap((event) =>
    event.kind === 'attempt' ? [event.event] : [],
  );
  assert.deepEqual(
    reports.map((event) => [event.kind, 'reason' in event ? event.reason : '']),
    [
      ['not-sent', 'grant-lapsed'],
      ['completed', ''],
    ],
  );
});

test('a grant that has ended at the dispatch opens no connection', async (t) => {
  const unused = await startRawBackend('unused', () => assert.fail('a request came'));
  const harness = await startHarness({
    now: () => GRANTED_UNTIL,
    choose: () => choiceOf(unused, GRANTED_UNTIL),
  });
  t.after(async () => {
    await harness.close();
    await unused.close();
  });
  const answer = await call(harness.port, '/v1/completions', { body: WHOLE });
  assert.equal(answer.status, 503);
  assert.match(answer.body, /"outcome":"refused: not run"/);
});
