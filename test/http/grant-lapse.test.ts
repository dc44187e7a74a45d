/** The grant to dispatch is checked again immediately before a request is sent. */
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

const COMPLETION = { model: 'labels', prompt: 'p' };
const GRANT_ENDS_AT_MS = 1_000;

function serveCompletion(socket: Socket, text: string): void {
  const body = completionJson('whole');
  socket.end(
    `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nx-threadfork-attempt: ${attemptOf(text)}\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
  );
}

/** A backend whose `closed` resolves to the byte count of its first connection when that closes. */
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

test('a request whose grant lapses while connecting sends no byte and goes to another backend', async (t) => {
  const counting = await startCountingBackend();
  const slow = { name: 'slow', address: '127.0.0.1', port: counting.port, close: async () => {} };
  const other = await startRawBackend('other', serveCompletion);
  let clock = GRANT_ENDS_AT_MS - 1;
  let choices = 0;
  const harness = await startHarness({
    now: () => clock,
    choose: () => {
      choices += 1;
      if (choices > 1) return choiceOf(other, clock + 1_000);
      // Runs after the dispatch and before a connection can be established.
      queueMicrotask(() => {
        clock = GRANT_ENDS_AT_MS;
      });
      return choiceOf(slow, GRANT_ENDS_AT_MS);
    },
  });
  t.after(async () => {
    await harness.close();
    await other.close();
    counting.close();
  });
  const answer = await call(harness.port, '/v1/completions', { body: COMPLETION });
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

test('a request whose grant has lapsed before the dispatch opens no connection', async (t) => {
  const unused = await startRawBackend('unused', () =>
    assert.fail('the backend received a request without a valid grant'),
  );
  const harness = await startHarness({
    now: () => GRANT_ENDS_AT_MS,
    choose: () => choiceOf(unused, GRANT_ENDS_AT_MS),
  });
  t.after(async () => {
    await harness.close();
    await unused.close();
  });
  const answer = await call(harness.port, '/v1/completions', { body: COMPLETION });
  assert.equal(answer.status, 503);
  assert.match(answer.body, /"outcome":"refused: not run"/);
});
