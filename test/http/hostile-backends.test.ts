/** Backends that violate the protocol: callers get a complete answer or a visible failure. */
import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { describe, type TestContext, test } from 'node:test';
import {
  type Answer,
  attemptOf,
  call,
  completionJson,
  dataOf,
  endFrames,
  type Harness,
  resumeOffsetOf,
  startHarness,
  startRawBackend,
  streamedText,
  streamHead,
  tokenFrame,
} from './support.js';

const LIMITS = { backendStallTimeoutMs: 100, backendHeadersTimeoutMs: 100, maxFrameBytes: 2_000 };
const STREAMED_COMPLETION = { model: 'labels', prompt: 'p', stream: true };
const COMPLETION = { model: 'labels', prompt: 'p' };
const TEXT = ['a ', 'b ', 'c ', 'd'];

/** Writes a hostile engine's answer to an attempt. */
type Script = (socket: Socket, attempt: string) => void;

/** Answers as a correct engine does, from the requested resume offset. */
function serveCorrectly(socket: Socket, text: string): void {
  const attempt = attemptOf(text);
  if (!text.includes('"stream":true')) {
    socket.end(completionResponse(attempt, completionJson('whole')));
    return;
  }
  socket.write(streamHead(attempt));
  for (let offset = resumeOffsetOf(text); offset < TEXT.length; offset += 1) {
    socket.write(tokenFrame(attempt, offset, TEXT[offset] ?? '', offset === TEXT.length - 1));
  }
  socket.end(endFrames(attempt, TEXT.length));
}

function completionResponse(
  attempt: string,
  body: string,
  length = Buffer.byteLength(body),
): string {
  return `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nx-threadfork-attempt: ${attempt}\r\ncontent-length: ${length}\r\n\r\n${body}`;
}

async function startPair(t: TestContext, script: Script, healthy = true): Promise<Harness> {
  const hostile = await startRawBackend('e1', (socket, text) => script(socket, attemptOf(text)));
  const backends = [hostile];
  if (healthy) backends.push(await startRawBackend('e2', serveCorrectly));
  const harness = await startHarness({ backends, limits: LIMITS });
  t.after(async () => {
    await harness.close();
    await Promise.all(backends.map((backend) => backend.close()));
  });
  return harness;
}

function brokenReasons(harness: Harness): string[] {
  return harness.events.flatMap((event) =>
    event.kind === 'attempt' && event.event.kind === 'broken' ? [event.event.reason] : [],
  );
}

const STREAM_SCRIPTS: readonly (readonly [name: string, reason: string | null, script: Script])[] =
  [
    [
      'repeated frames and frames of other attempts',
      null,
      (socket, attempt) => {
        socket.write(streamHead(attempt) + tokenFrame(attempt, 0, 'a '));
        socket.write(tokenFrame('d9-1-1.1', 1, 'FOREIGN '));
        socket.write(tokenFrame(attempt, 0, 'REPEATED ') + tokenFrame(attempt, 1, 'b '));
        socket.write(tokenFrame(`${attempt}1`, 2, 'LATE ') + tokenFrame(attempt, 2, 'c '));
        socket.write(tokenFrame(attempt, 1, 'REPEATED ') + tokenFrame(attempt, 3, 'd', true));
        socket.end(endFrames(attempt, 4) + tokenFrame(attempt, 4, 'AFTER THE END'));
      },
    ],
    [
      'a gap in the offsets',
      'offset-gap',
      (socket, attempt) => {
        socket.write(streamHead(attempt) + tokenFrame(attempt, 0, 'a '));
        socket.write(tokenFrame(attempt, 2, 'c '));
      },
    ],
    [
      'an early close',
      'ended-early',
      (socket, attempt) => socket.end(streamHead(attempt) + tokenFrame(attempt, 0, 'a ')),
    ],
    [
      'a connection reset',
      'ended-early|ECONNRESET|UND_ERR_SOCKET',
      (socket, attempt) => {
        const sent = streamHead(attempt) + tokenFrame(attempt, 0, 'a ');
        socket.write(sent, () => setImmediate(() => socket.resetAndDestroy()));
      },
    ],
    [
      'an end marker before the last token',
      'ended-early',
      (socket, attempt) =>
        socket.end(`${streamHead(attempt) + tokenFrame(attempt, 0, 'a ')}data: [DONE]\n\n`),
    ],
    [
      'token counts before the last token',
      'malformed-frame',
      (socket, attempt) =>
        socket.end(streamHead(attempt) + tokenFrame(attempt, 0, 'a ') + endFrames(attempt, 1)),
    ],
    [
      'a stall',
      'UND_ERR_BODY_TIMEOUT',
      (socket, attempt) => socket.write(streamHead(attempt) + tokenFrame(attempt, 0, 'a ')),
    ],
    [
      'a token after the token counts',
      'malformed-frame',
      (socket, attempt) => {
        const tokens = TEXT.map((text, offset) => tokenFrame(attempt, offset, text, offset === 3));
        const counts = endFrames(attempt, 4).replace('data: [DONE]\n\n', '');
        socket.write(
          streamHead(attempt) + tokens.join('') + counts + tokenFrame(attempt, 4, 'MORE'),
        );
      },
    ],
    ['a stall before the head', 'UND_ERR_HEADERS_TIMEOUT', () => {}],
    [
      'a frame with invalid JSON',
      'malformed-frame',
      (socket, attempt) => {
        const good = streamHead(attempt) + tokenFrame(attempt, 0, 'a ');
        socket.write(`${good}id: ${attempt}:1\ndata: {"choices":[{"text":\n\n`);
      },
    ],
    [
      'an incomplete frame over the size limit',
      'frame-too-large',
      (socket, attempt) => {
        const good = streamHead(attempt) + tokenFrame(attempt, 0, 'a ');
        socket.write(`${good}id: ${attempt}:1\ndata: ${'x'.repeat(3_000)}`);
      },
    ],
    [
      "another attempt's answer",
      'foreign-answer',
      (socket) => serveCorrectly(socket, 'x-threadfork-attempt: d9-1-1.1\r\n"stream":true'),
    ],
    ['an answer that is not HTTP', 'HTTPParserError', (socket) => socket.end('garbage\r\n\r\n')],
    [
      'a status 500',
      'status-500',
      (socket, attempt) =>
        socket.end(
          `HTTP/1.1 500 No\r\nx-threadfork-attempt: ${attempt}\r\ncontent-length: 0\r\n\r\n`,
        ),
    ],
    [
      'a refusal that does not confirm that the request was not run',
      'status-503',
      (socket) => socket.end('HTTP/1.1 503 No\r\ncontent-length: 2\r\n\r\n{}'),
    ],
  ];

describe('streamed answers', { concurrency: true }, () => {
  for (const [name, reason, script] of STREAM_SCRIPTS) {
    test(`stream, ${name}: the caller gets each token once, if needed from another engine`, async (t) => {
      const harness = await startPair(t, script);
      const answer = await call(harness.port, '/v1/completions', { body: STREAMED_COMPLETION });
      assert.equal(streamedText(answer.body), TEXT.join(''));
      assert.ok(answer.body.endsWith('data: [DONE]\n\n'));
      assert.equal(answer.broken, false);
      assert.match(brokenReasons(harness).join(), new RegExp(`^(${reason ?? ''})$`));
    });

    if (reason === null) continue;
    test(`stream, ${name}, not repeatable: the caller gets a failure with unknown outcome`, async (t) => {
      const harness = await startPair(t, script);
      const headers = { 'x-threadfork-repeatable': 'false' };
      const answer = await call(harness.port, '/v1/completions', {
        body: STREAMED_COMPLETION,
        headers,
      });
      assertVisiblyFailed(answer);
      assert.equal(harness.effects.filter((effect) => effect.kind === 'dispatch').length, 1);
    });
  }
});

function assertVisiblyFailed(answer: Answer): void {
  assert.ok(!answer.body.includes('[DONE]'));
  if (answer.status === 200) {
    assert.equal(answer.broken, true);
    assert.equal(dataOf(answer.body).at(-1)?.error?.outcome, 'unknown');
  } else {
    assert.equal(answer.status, 502);
    assert.match(answer.body, /"outcome":"unknown"/);
  }
}

const LARGE_COMPLETION = completionJson('x'.repeat(200_000));

const INTERIM_ANSWERS = 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(4_096);
const MAX_INTERIM_BYTES = 16 * 1_024 * 1_024;

/** Goes on until the connection is closed, or long enough to show that it is not. */
function sendInterimAnswers(socket: Socket): void {
  const send = () => {
    const isOver = socket.destroyed || socket.bytesWritten > MAX_INTERIM_BYTES;
    if (!isOver) socket.write(INTERIM_ANSWERS, () => setImmediate(send));
  };
  send();
}

const COMPLETION_SCRIPTS: readonly (readonly [name: string, reason: string, script: Script])[] = [
  [
    'an early close',
    'UND_ERR_SOCKET',
    (socket, attempt) =>
      socket.end(completionResponse(attempt, completionJson('cut').slice(0, 50), 400)),
  ],
  [
    'a stall',
    'UND_ERR_BODY_TIMEOUT',
    (socket, attempt) => socket.write(completionResponse(attempt, '{"id"', 400)),
  ],
  ['interim answers without end', 'interim-answers', sendInterimAnswers],
  [
    'no content length',
    'no-length',
    (socket, attempt) =>
      socket.end(
        `HTTP/1.1 200 OK\r\nx-threadfork-attempt: ${attempt}\r\n\r\n${completionJson('x')}`,
      ),
  ],
  [
    'an answer that is not JSON',
    'malformed-answer',
    (socket, attempt) => socket.end(completionResponse(attempt, 'garbage')),
  ],
  [
    'a content length that is too small',
    'malformed-answer',
    (socket, attempt) => {
      const body = completionJson('cut');
      socket.end(completionResponse(attempt, body, body.length - 2));
    },
  ],
  [
    "another attempt's answer",
    'foreign-answer',
    (socket) => socket.end(completionResponse('d9-1-1.1', completionJson('FOREIGN'))),
  ],
  [
    'two content lengths',
    'UND_ERR_RES_CONTENT_LENGTH_MISMATCH',
    (socket, attempt) =>
      socket.end(
        `HTTP/1.1 200 OK\r\nx-threadfork-attempt: ${attempt}\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n{}`,
      ),
  ],
];

describe('unstreamed answers', { concurrency: true }, () => {
  for (const [name, reason, script] of COMPLETION_SCRIPTS) {
    test(`unstreamed, ${name}: the caller gets the answer of a healthy engine`, async (t) => {
      const harness = await startPair(t, script);
      const answer = await call(harness.port, '/v1/completions', { body: COMPLETION });
      assert.equal(answer.body, completionJson('whole'));
      assert.deepEqual(brokenReasons(harness), [reason]);
    });

    test(`unstreamed, ${name}, not repeatable: the caller gets a failure with unknown outcome`, async (t) => {
      const harness = await startPair(t, script);
      const headers = { 'x-threadfork-repeatable': 'false' };
      const answer = await call(harness.port, '/v1/completions', { body: COMPLETION, headers });
      assertVisiblyFailed(answer);
    });
  }
});

test('the connection is closed, not ended normally, when a large answer breaks off after its head', async (t) => {
  const harness = await startPair(t, (socket, attempt) => {
    const part = completionResponse(attempt, LARGE_COMPLETION).slice(0, 150_000);
    socket.write(part, () => socket.destroy());
  });
  const answer = await call(harness.port, '/v1/completions', { body: COMPLETION });
  assert.equal(answer.broken, true);
  assert.equal(harness.effects.filter((effect) => effect.kind === 'dispatch').length, 1);
});

for (const [name, disconnect] of [
  ['closes', (socket: Socket) => socket.end()],
  ['resets', (socket: Socket) => setImmediate(() => socket.resetAndDestroy())],
] as const) {
  for (const connection of ['close', 'keep-alive']) {
    test(`the connection is closed when the backend ${name} mid-answer (chunked, ${connection})`, async (t) => {
      const head = `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nconnection: ${connection}\r\n\r\n`;
      const harness = await startPair(t, (socket) =>
        socket.write(`${head}5\r\nhello\r\n`, () => disconnect(socket)),
      );
      const answer = await call(harness.port, '/sheets/1');
      // A reset may discard the data written before it; then the other backend answers instead.
      assert.ok(
        answer.broken || answer.body !== 'hello',
        'an incomplete answer was ended as complete',
      );
    });
  }
}

test('an answer behind interim answers is forwarded', async (t) => {
  const body = completionJson('right');
  const interim = 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(100);
  const harness = await startPair(t, (socket, attempt) =>
    socket.end(interim + completionResponse(attempt, body)),
  );
  const answer = await call(harness.port, '/v1/completions', { body: COMPLETION });
  assert.equal(answer.body, body);
  assert.deepEqual(brokenReasons(harness), []);
});

for (const status of ['000', '042', '099', '600', '999']) {
  // Guards against an answer whose status ends no request and that callers get as theirs.
  test(`an answer with status ${status} is none, for web and model requests`, async (t) => {
    const harness = await startPair(
      t,
      (socket, attempt) => {
        const head = `HTTP/1.1 ${status} OK\r\nx-threadfork-attempt: ${attempt}`;
        socket.end(`${head}\r\ncontent-length: 2\r\n\r\nno`);
      },
      false,
    );
    const answers = [
      await call(harness.port, '/sheets/1'),
      await call(harness.port, '/v1/completions', { body: COMPLETION }),
      await call(harness.port, '/v1/completions', { body: STREAMED_COMPLETION }),
    ];
    for (const answer of answers) {
      assert.ok(answer.status >= 500 && answer.status <= 599, `status ${answer.status}`);
      assert.notEqual(answer.body, 'no');
    }
  });
}

test('bytes beyond the Content-Length are not forwarded', async (t) => {
  const body = completionJson('right');
  const harness = await startPair(t, (socket, attempt) =>
    socket.end(`${completionResponse(attempt, body)}MORE`),
  );
  const answer = await call(harness.port, '/v1/completions', { body: COMPLETION });
  assert.equal(answer.body, body);
});

test('a refused request goes to another engine; if none is left, it is refused as not run', async (t) => {
  const refusal = '{"error":{"code":"engine-full","message":"full"},"notRun":true}';
  const script: Script = (socket) =>
    socket.end(
      `HTTP/1.1 429 Full\r\nretry-after: 7\r\ncontent-length: ${refusal.length}\r\n\r\n${refusal}`,
    );
  const pair = await startPair(t, script);
  const answer = await call(pair.port, '/v1/completions', { body: COMPLETION });
  assert.equal(answer.body, completionJson('whole'));
  const alone = await startPair(t, script, false);
  const refused = await call(alone.port, '/v1/completions', { body: COMPLETION });
  assert.equal(refused.status, 503);
  assert.match(refused.body, /"outcome":"refused: not run"/);
});

test("an engine's report of an error in the request is forwarded unchanged", async (t) => {
  const flaw = '{"error":{"message":"prompt too long"}}';
  const script: Script = (socket, attempt) =>
    socket.end(
      `HTTP/1.1 400 Bad\r\nx-threadfork-attempt: ${attempt}\r\ncontent-length: ${flaw.length}\r\n\r\n${flaw}`,
    );
  const harness = await startPair(t, script);
  for (const body of [STREAMED_COMPLETION, COMPLETION]) {
    const answer = await call(harness.port, '/v1/completions', { body });
    assert.deepEqual([answer.status, answer.body], [400, flaw]);
  }
});
