/** Callers that send what they should not, too much of it, too slowly, or go away. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { after, before, test } from 'node:test';
import {
  attemptOf,
  type Backend,
  call,
  completionJson,
  type Harness,
  KEY,
  rawCall,
  startHarness,
  startRawBackend,
  streamHead,
  tokenFrame,
} from './support.js';

const LIMITS = {
  maxHeaderBytes: 4_096,
  maxBodyBytes: 10_000,
  headersTimeoutMs: 150,
  requestTimeoutMs: 200,
  callerStallTimeoutMs: 100,
};
const AUTHORIZATION = `authorization: Bearer ${KEY}\r\n`;
const HEAD = `POST /v1/completions HTTP/1.1\r\nhost: a\r\n${AUTHORIZATION}`;
const STREAM_BODY = JSON.stringify({ model: 'labels', prompt: 'p', stream: true });
const STREAM_REQUEST = `${HEAD}content-length: ${STREAM_BODY.length}\r\n\r\n${STREAM_BODY}`;

let harness: Harness;
let engine: Backend;
let onEngineRequest: (socket: Socket, text: string) => void = () => {};

before(async () => {
  engine = await startRawBackend('e1', (socket, text) => onEngineRequest(socket, text));
  harness = await startHarness({ backends: [engine], limits: LIMITS });
});

after(async () => {
  await harness.close();
  await engine.close();
});

/** Checks that the answer is a typed error and that the server serves on. */
async function assertTyped(answer: string, status: number, code: string): Promise<void> {
  assert.match(answer, new RegExp(`^HTTP/1.1 ${status} `), answer.slice(0, 200));
  assert.ok(answer.includes(`"code":"${code}"`), answer);
  assert.ok(answer.includes('"outcome":"refused: not run"'), answer);
  await assertServes();
}

async function assertServes(): Promise<void> {
  assert.equal((await call(harness.port, '/healthz')).status, 200);
  assert.equal(harness.table.activeCount, 0);
  assert.equal(harness.server.heldBodyBytes, 0);
}

const MALFORMED: readonly (readonly [name: string, request: string])[] = [
  ['both lengths', `${HEAD}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`],
  ['two lengths', `${HEAD}content-length: 3\r\ncontent-length: 4\r\n\r\nabcd`],
  ['a negative length', `${HEAD}content-length: -3\r\n\r\nabc`],
  ['a length that is not a number', `${HEAD}content-length: 3x\r\n\r\nabc`],
  ['chunked not last', `${HEAD}transfer-encoding: chunked, gzip\r\n\r\n0\r\n\r\n`],
  ['a bad chunk size', `${HEAD}transfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n`],
  ['a header with a space', `${HEAD}content-length : 3\r\n\r\nabc`],
  ['no HTTP at all', 'hello there\r\n\r\n'],
  ['a bare line feed in a header', `${HEAD}x-a: b\n\rcontent-length: 0\r\n\r\n`],
];

for (const [name, request] of MALFORMED) {
  test(`${name} is refused`, async () => {
    await assertTyped(await rawCall(harness.port, request), 400, 'invalid-request');
  });
}

test('headers that are too large are refused', async () => {
  const request = `${HEAD}x-large: ${'a'.repeat(5_000)}\r\ncontent-length: 0\r\n\r\n`;
  await assertTyped(await rawCall(harness.port, request), 431, 'headers-too-large');
});

test('a declared body that is too large is refused before it is sent', async () => {
  const answer = await rawCall(harness.port, `${HEAD}content-length: 10001\r\n\r\n`);
  await assertTyped(answer, 413, 'body-too-large');
});

test('a chunked body that grows too large is refused', async () => {
  const chunk = `400\r\n${'a'.repeat(1_024)}\r\n`;
  const answer = await rawCall(
    harness.port,
    `${HEAD}transfer-encoding: chunked\r\n\r\n${chunk.repeat(20)}0\r\n\r\n`,
  );
  await assertTyped(answer, 413, 'body-too-large');
});

test('bodies beyond what may be held at once are refused as overload', async (t) => {
  const small = await startHarness({ limits: { maxBufferedBytes: 100 } });
  t.after(() => small.close());
  const body = { model: 'labels', prompt: 'p'.repeat(200) };
  const answer = await call(small.port, '/v1/completions', { body });
  assert.equal(answer.status, 503);
  assert.match(answer.body, /"code":"overloaded"/);
  assert.equal(answer.headers['retry-after'], '1');
  assert.equal(small.server.heldBodyBytes, 0);
});

for (const [name, begin] of [
  ['headers', 'POST /v1/completions HTTP/1.1\r\nhost: a\r\nx-slow: '],
  ['a body', `${HEAD}content-length: 100\r\n\r\nabc`],
] as const) {
  test(`${name} that do not come to an end are given up on`, async () => {
    await assertTyped(await rawCall(harness.port, begin), 408, 'body-timeout');
  });
}

const MANY_DIGITS = '9'.repeat(5_000);
const BAD_BODIES: readonly string[] = [
  '',
  '{',
  'null',
  '[]',
  '"text"',
  '{"prompt":"p"}',
  '{"model":7,"prompt":"p"}',
  '{"model":"labels"}',
  '{"model":"labels","prompt":{}}',
  '{"model":"labels","prompt":["a","b"]}',
  '{"model":"labels","prompt":"p","stream":"yes"}',
  '{"model":"labels","prompt":"p","n":2}',
  '{"model":"labels","prompt":"p","max_tokens":0}',
  '{"model":"labels","prompt":"p","max_tokens":1.5}',
  '{"model":"labels","prompt":"p","max_tokens":"9"}',
  '{"model":"labels","prompt":"p","max_tokens":99999999}',
  `{"model":"labels","prompt":"p","max_tokens":${MANY_DIGITS}}`,
  '{"model":"labels","prompt":"p","stream_options":3}',
  '['.repeat(9_000),
];

test('bodies that are no completion request are refused', async () => {
  for (const body of BAD_BODIES) {
    const answer = await call(harness.port, '/v1/completions', { method: 'POST', body });
    assert.equal(answer.status, 400, body.slice(0, 80));
    assert.match(answer.body, /"code":"invalid-request"/);
  }
  const noMessages = await call(harness.port, '/v1/chat/completions', {
    body: { model: 'labels', messages: [{ content: 'no role' }] },
  });
  assert.equal(noMessages.status, 400);
  await assertServes();
});

test('a number of a million digits is refused', async (t) => {
  const large = await startHarness();
  t.after(() => large.close());
  const body = `{"model":"labels","prompt":"p","max_tokens":${'9'.repeat(1_000_000)}}`;
  const answer = await call(large.port, '/v1/completions', { method: 'POST', body });
  assert.equal(answer.status, 400);
});

test('headers that make no sense are refused', async () => {
  const body = { model: 'labels', prompt: 'p' };
  for (const headers of [
    { 'x-threadfork-class': 'nobody' },
    { 'x-threadfork-class': '__proto__' },
    { 'x-threadfork-deadline-ms': '0' },
    { 'x-threadfork-deadline-ms': 'soon' },
    { 'x-threadfork-deadline-ms': '9'.repeat(30) },
    { 'x-threadfork-repeatable': 'maybe' },
    { 'idempotency-key': 'a/b' },
    { 'idempotency-key': 'a'.repeat(200) },
  ] as const) {
    const answer = await call(harness.port, '/v1/completions', { body, headers });
    assert.equal(answer.status, 400, JSON.stringify(headers));
  }
  await assertServes();
});

test('two pipelined requests are answered in order', async () => {
  const one = `GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n`;
  const two = `GET /nothing HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n`;
  const answer = await rawCall(harness.port, one + two);
  assert.deepEqual(
    [...answer.matchAll(/HTTP\/1\.1 (\d+) /g)].map((match) => match[1]),
    ['200', '404'],
  );
});

test('paths and headers with odd bytes get an answer', async () => {
  onEngineRequest = (socket) => socket.end('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
  for (const [target, header] of [
    ['/sheets/a"b|c', 'x'],
    ['/sheets/\x80\xff', 'x'],
    ['/sheets/%00%zz', 'x'],
    ['/sheets/..//../etc', 'x'],
    ['/sheets/a', '\xe9\xff'],
    ['http://a/sheets/a', 'x'],
    ['*', 'x'],
  ]) {
    const answer = await rawCall(
      harness.port,
      `GET ${target} HTTP/1.1\r\nhost: a\r\n${AUTHORIZATION}x-odd: ${header}\r\nconnection: close\r\n\r\n`,
    );
    assert.match(answer, /^HTTP\/1\.1 (200|400|404) /, `${target}: ${answer}`);
  }
  await assertServes();
});

for (const [name, leave] of [
  ['resets its connection', (socket: Socket) => socket.resetAndDestroy()],
  ['closes its connection', (socket: Socket) => socket.destroy()],
  ['half-closes its connection', (socket: Socket) => socket.end()],
] as const) {
  test(`the engine work of a caller that ${name} mid-stream is cancelled`, async () => {
    const cancelled = new Promise<void>((resolve) => {
      onEngineRequest = (socket, text) => {
        const attempt = attemptOf(text);
        socket.on('close', () => resolve());
        socket.write(streamHead(attempt) + tokenFrame(attempt, 0, 'a'));
      };
    });
    const caller = connect(harness.port, '127.0.0.1');
    caller.on('error', () => {});
    caller.write(STREAM_REQUEST);
    await once(caller, 'data');
    leave(caller);
    await cancelled;
    await harness.eventually(() => harness.table.activeCount === 0);
    caller.destroy();
    await assertServes();
  });
}

test('a caller that does not read holds a bounded share of memory and is cut', async () => {
  let sent = 0;
  const cut = new Promise<void>((resolve) => {
    onEngineRequest = (socket, text) => {
      const attempt = attemptOf(text);
      let offset = 0;
      const write = (): void => {
        let room = true;
        while (room && offset < 2_000_000) {
          const frame = tokenFrame(attempt, offset, 'x'.repeat(4_000));
          offset += 1;
          sent += frame.length;
          room = socket.write(frame);
        }
      };
      socket.on('drain', write);
      socket.on('close', () => resolve());
      socket.write(streamHead(attempt));
      write();
    };
  });
  const caller = connect(harness.port, '127.0.0.1');
  caller.on('error', () => {});
  caller.pause();
  caller.write(STREAM_REQUEST);
  await cut;
  assert.ok(sent < 64 * 1024 * 1024, `${sent} bytes went out towards a caller that does not read`);
  await harness.eventually(() => harness.table.activeCount === 0);
  caller.destroy();
  await assertServes();
});

test('a caller that pipelines requests and reads no answer is cut', async (t) => {
  const body = completionJson('x'.repeat(60_000));
  onEngineRequest = (socket, text) =>
    socket.write(
      `HTTP/1.1 200 OK\r\nx-threadfork-attempt: ${attemptOf(text)}\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
    );
  const whole = JSON.stringify({ model: 'labels', prompt: 'p' });
  const caller = connect(harness.port, '127.0.0.1');
  caller.on('error', () => {});
  caller.pause();
  caller.write(`${HEAD}content-length: ${whole.length}\r\n\r\n${whole}`.repeat(300));
  await harness.eventually(() => harness.events.length > 20);
  const ticker = setInterval(() => harness.tick(), 10);
  t.after(() => clearInterval(ticker));
  await harness.eventually(() => harness.server.activeRequests === 0);
  caller.destroy();
  await assertServes();
});
