/** Guards against a connection that has any number of requests under way, as it sends request after request. */
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { type TestContext, test } from 'node:test';
import type { HttpLimits } from '../../src/shell/http/index.js';
import { type Harness, rawCall, startHarness, startHttpBackend } from './support.js';

/** More than a few reads of 64 KiB. */
const REQUESTS = 6_000;
/** The limit, and the requests of the piece that reaches it. */
const MAX_OPEN_REQUESTS = 64 + 128;

function get(index: number): string {
  return `GET /sheets/${index} HTTP/1.1\r\nhost: a\r\n\r\n`;
}

const LAST_REQUEST = 'GET /sheets/last HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n';

interface Setting {
  readonly harness: Harness;
  /** Answers the requests that the backend holds, and those that come. */
  readonly release: () => void;
}

async function start(context: TestContext, limits: Partial<HttpLimits> = {}): Promise<Setting> {
  const held: (() => void)[] = [];
  let isHolding = true;
  const backend = await startHttpBackend('web', (request, response) => {
    request.resume();
    const answer = (): void => void response.end(request.url);
    if (isHolding) held.push(answer);
    else answer();
  });
  const harness = await startHarness({ backends: [backend], limits, anonymous: true });
  context.after(async () => {
    await harness.close();
    await backend.close();
  });
  const release = (): void => {
    isHolding = false;
    for (const answer of held.splice(0)) answer();
  };
  return { harness, release };
}

function sendMany(harness: Harness): {
  readonly text: () => string;
  readonly closed: Promise<unknown>;
} {
  const socket = connect(harness.port, '127.0.0.1');
  let text = '';
  socket.on('data', (chunk) => {
    text += chunk.toString('latin1');
  });
  socket.on('error', () => socket.destroy());
  const closed = new Promise((resolve) => socket.once('close', resolve));
  const requests = Array.from({ length: REQUESTS }, (_, index) => get(index));
  socket.write(requests.join(''));
  return { text: () => text, closed };
}

function arrived(harness: Harness): number {
  return harness.events.filter(({ kind }) => kind === 'request-arrived').length;
}

test('reading pauses while many answers of a connection are open, and all are answered in order', async (t) => {
  const { harness, release } = await start(t);
  const { text } = sendMany(harness);
  await harness.eventually(() => arrived(harness) >= 64);
  // What the connection delivers without a pause would all be there after this many turns.
  for (let turn = 0; turn < 1_000; turn += 1) await new Promise(setImmediate);
  assert.ok(arrived(harness) < MAX_OPEN_REQUESTS, `${arrived(harness)} requests`);
  release();
  while (!text().endsWith(`/sheets/${REQUESTS - 1}`)) await new Promise(setImmediate);
  const answered = [...text().matchAll(/\r\n\r\n\/sheets\/(\d+)/g)].map(([, index]) =>
    Number(index),
  );
  assert.deepEqual(
    answered,
    Array.from({ length: REQUESTS }, (_, index) => index),
  );
});

test('a connection that sends on after its last answer was told is closed, and none of it is run', async (t) => {
  const { harness } = await start(t, { maxRequestHeapBytes: 100_000 });
  const { closed } = sendMany(harness);
  await closed;
  assert.ok(arrived(harness) < 10, `${arrived(harness)} requests`);
  assert.ok(harness.refusals.includes('no-room-for-request'));
});

// Guards against a body that is not read, as its connection waits for the request of that body to end.
test('requests with bodies are answered one after the other at the lowest limit', async (t) => {
  const { harness, release } = await start(t, { maxPipelinedRequests: 1 });
  release();
  const body = 'x'.repeat(200_000);
  const requests = Array.from(
    { length: 4 },
    (_, index) =>
      `POST /sheets/${index} HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
  );
  const answers = await rawCall(harness.port, `${requests.join('')}${LAST_REQUEST}`);
  assert.equal(answers.match(/HTTP\/1\.1 200 /g)?.length, requests.length + 1);
});
