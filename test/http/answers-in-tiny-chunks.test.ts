/** Guards against answers of servers whose small chunks are each kept as an object. */
import assert from 'node:assert/strict';
import { ServerResponse } from 'node:http';
import { type TestContext, test } from 'node:test';
import { AnswerCapture } from '../../src/shell/http/answer-capture.js';
import { EngineRefusal } from '../../src/shell/http/engine-refusal.js';
import { inSingleBytes, inTinyChunks, measureJoinedBytes } from '../bytes/support/joined-bytes.js';
import {
  type Answer,
  attemptOf,
  call,
  completionJson,
  startHarness,
  startRawBackend,
} from './support.js';

const KIB = 1_024;
/** Blocks of a body of at most 64 KiB. */
const MAX_JOINED_BUFFERS = 32;
/** Far more than there are pieces in which the connection delivers the answer. */
const MAX_WRITES = 2_000;
const LARGE_TEXT = 'x'.repeat(60 * KIB);

test('a captured answer in chunks of one byte is not kept as an object for each byte', (t) => {
  const joined = measureJoinedBytes(t);
  const capture = new AnswerCapture(64 * KIB);
  capture.begin(200, 'text/plain');
  for (const chunk of inSingleBytes(Buffer.from(LARGE_TEXT))) capture.add(chunk);
  const outcome = capture.outcome();
  assert.equal(outcome.kind === 'answered' ? outcome.body : outcome.kind, LARGE_TEXT);
  assert.ok(joined.mostBuffers <= MAX_JOINED_BUFFERS, `${joined.mostBuffers} Buffers`);
});

test("an engine's refusal in chunks of one byte is not kept as an object for each byte", (t) => {
  const joined = measureJoinedBytes(t);
  const refusal = new EngineRefusal(503, {});
  const body = JSON.stringify({
    notRun: true,
    error: { code: 'full' },
    padding: 'x'.repeat(15 * KIB),
  });
  for (const chunk of inSingleBytes(Buffer.from(body))) assert.ok(refusal.add(chunk));
  assert.deepEqual(refusal.read(), { reason: 'full' });
  assert.ok(joined.mostBuffers <= MAX_JOINED_BUFFERS, `${joined.mostBuffers} Buffers`);
});

/** The answer to a request whose backend answers once with these bytes after its attempt's id. */
async function answerTo(
  context: TestContext,
  request: { readonly path: string; readonly body: object },
  answerOf: (attempt: string) => string,
): Promise<Answer> {
  const backend = await startRawBackend('e1', (socket, text) =>
    socket.end(answerOf(attemptOf(text))),
  );
  const harness = await startHarness({ backends: [backend] });
  context.after(async () => {
    await harness.close();
    await backend.close();
  });
  return call(harness.port, request.path, { body: request.body });
}

test('an error of an engine in chunks of one byte is not kept as an object for each byte', async (t) => {
  const joined = measureJoinedBytes(t);
  const request = { path: '/v1/completions', body: { model: 'labels', prompt: 'p', stream: true } };
  const answer = await answerTo(t, request, (attempt) =>
    [
      'HTTP/1.1 400 Bad Request',
      `x-threadfork-attempt: ${attempt}`,
      'transfer-encoding: chunked',
      '',
      inTinyChunks(LARGE_TEXT),
    ].join('\r\n'),
  );
  assert.equal(answer.status, 400);
  assert.equal(answer.body, LARGE_TEXT);
  assert.ok(joined.mostBuffers <= MAX_JOINED_BUFFERS, `${joined.mostBuffers} Buffers`);
});

test('a whole answer that arrives byte by byte is not kept as an object for each byte', async (t) => {
  const joined = measureJoinedBytes(t);
  const body = completionJson('x'.repeat(KIB));
  const backend = await startRawBackend('e1', (socket, text) => {
    const head = [
      'HTTP/1.1 200 OK',
      `x-threadfork-attempt: ${attemptOf(text)}`,
      'content-type: application/json',
      `content-length: ${body.length}`,
    ].join('\r\n');
    socket.setNoDelay(true);
    socket.write(`${head}\r\n\r\n`);
    // One write an iteration of the event loop, so that each byte arrives in a segment of its own.
    const writeFrom = (position: number): void => {
      if (position === body.length || socket.destroyed) return;
      socket.write(body.charAt(position), () => setImmediate(writeFrom, position + 1));
    };
    writeFrom(0);
  });
  const harness = await startHarness({ backends: [backend] });
  t.after(async () => {
    await harness.close();
    await backend.close();
  });
  const answer = await call(harness.port, '/v1/completions', {
    body: { model: 'labels', prompt: 'p' },
  });
  assert.equal(answer.body, body);
  assert.ok(joined.mostBuffers <= MAX_JOINED_BUFFERS, `${joined.mostBuffers} Buffers`);
});

// Guards against a caller that reads slowly and holds some hundred bytes of heap for each byte that waits for it.
test('an answer in chunks of one byte is forwarded in larger ones', async (t) => {
  let writes = 0;
  const { write } = ServerResponse.prototype;
  t.mock.method(ServerResponse.prototype, 'write', function (this: ServerResponse, chunk: Buffer) {
    writes += 1;
    return Reflect.apply(write, this, [chunk]);
  });
  const backend = await startRawBackend('e1', (socket) =>
    socket.end(`HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${inTinyChunks(LARGE_TEXT)}`),
  );
  const harness = await startHarness({ backends: [backend] });
  t.after(async () => {
    await harness.close();
    await backend.close();
  });
  const answer = await call(harness.port, '/sheets/1');
  assert.equal(answer.body, LARGE_TEXT);
  assert.equal(answer.broken, false);
  assert.ok(writes <= MAX_WRITES, `${writes} writes`);
});
