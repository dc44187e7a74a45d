/** A backend that stops in its answer and closes: callers of the product's own API got the part as a whole answer. */
import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { type TestContext, test } from 'node:test';
import {
  attemptOf,
  call,
  completionJson,
  endFrames,
  type Harness,
  startHarness,
  startRawBackend,
  streamHead,
  tokenFrame,
} from './support.js';

const STREAMED = { model: 'labels', prompt: 'p', stream: true };
const UNSTREAMED = { model: 'labels', prompt: 'p' };
const WHOLE = completionJson('whole');
const ENDINGS = ['closes', 'resets'] as const;
const UNKNOWN_CODINGS = ['gzip', 'chunked, gzip', 'gzip, chunked', 'identity', ''];

/** An answer to an attempt, or what there is of it. */
type Write = (attempt: string) => string;

let write: Write = () => '';
let ending: (typeof ENDINGS)[number] = 'closes';

function answer(socket: Socket, text: string): void {
  socket.write(write(attemptOf(text)), 'latin1', () => {
    if (ending === 'closes') socket.end();
    else setImmediate(() => socket.resetAndDestroy());
  });
}

async function startAlone(t: TestContext): Promise<Harness> {
  const backend = await startRawBackend('e1', answer);
  const harness = await startHarness({ backends: [backend] });
  t.after(async () => {
    await harness.close();
    await backend.close();
  });
  return harness;
}

function headOf(attempt: string, status: string, ...lines: readonly string[]): string {
  const own = [`HTTP/1.1 ${status}`, `x-threadfork-attempt: ${attempt}`];
  return [...own, 'content-type: application/json', ...lines, '', ''].join('\r\n');
}

const ANSWERS: Readonly<Record<string, { readonly body: object; readonly write: Write }>> = {
  'an unstreamed answer': {
    body: UNSTREAMED,
    write: (attempt) => headOf(attempt, '200 OK', `content-length: ${WHOLE.length}`) + WHOLE,
  },
  'a stream': {
    body: STREAMED,
    write: (attempt) =>
      streamHead(attempt) + tokenFrame(attempt, 0, 'a', true) + endFrames(attempt, 1),
  },
};

for (const [name, { body, write: whole }] of Object.entries(ANSWERS)) {
  // Guards against a success without the answer's end.
  test(`${name} that is cut at any byte is not told as whole`, async (t) => {
    const harness = await startAlone(t);
    const { length } = whole('d1-1-10.1');
    for (ending of ENDINGS) {
      for (let cut = 0; cut < length - 1; cut += cut < 200 ? 1 : 17) {
        write = (attempt) => whole(attempt).slice(0, cut);
        const got = await call(harness.port, '/v1/completions', { body });
        const isFailure = got.status >= 500 || got.broken || got.body.includes('"error"');
        assert.ok(isFailure, `${cut} ${ending}: ${got.status} ${got.body}`);
      }
    }
  });
}

// Guards against an engine's error whose end only a close tells.
test('an error in the request that has no length and is cut is not told as the whole answer', async (t) => {
  const harness = await startAlone(t);
  for (ending of ENDINGS) {
    for (const body of [STREAMED, UNSTREAMED]) {
      write = (attempt) => `${headOf(attempt, '400 Bad')}{"error":{"mess`;
      const got = await call(harness.port, '/v1/completions', { body });
      assert.notEqual(got.status, 400, got.body);
    }
  }
});

// Guards against an answer whose end only a close tells, framed as whole since it names a transfer coding.
test('an answer in a transfer coding other than chunked is none', async (t) => {
  const harness = await startAlone(t);
  for (ending of ENDINGS) {
    for (const coding of UNKNOWN_CODINGS) {
      write = () => `HTTP/1.1 200 OK\r\ntransfer-encoding: ${coding}\r\n\r\npart`;
      const got = await call(harness.port, '/sheets/1');
      assert.ok(got.status >= 500, `${coding} ${ending}: ${got.status} ${got.body}`);
    }
  }
});

// Guards against the framing of an answer that is lost with the name of its header.
test('an answer with a header whose name is no token is none', async (t) => {
  const harness = await startAlone(t);
  for (ending of ENDINGS) {
    for (const line of [
      'transf r-encoding: chunked',
      'cont nt-length: 20',
      'x y: 1\r\ncontent-length: 4',
    ]) {
      write = () => `HTTP/1.1 200 OK\r\n${line}\r\n\r\npart`;
      const got = await call(harness.port, '/sheets/1');
      assert.ok(got.status >= 500, `${line} ${ending}: ${got.status} ${got.body}`);
    }
  }
});

test('answers that have no body are passed on without a length', async (t) => {
  const harness = await startAlone(t);
  ending = 'closes';
  for (const [method, status] of [
    ['HEAD', 200],
    ['GET', 204],
    ['GET', 304],
  ] as const) {
    write = () => `HTTP/1.1 ${status} OK\r\nx-own: 1\r\n\r\n`;
    const got = await call(harness.port, '/sheets/1', { method });
    assert.deepEqual([got.status, got.broken, got.body], [status, false, '']);
    assert.equal(got.headers['x-own'], '1');
  }
});

// Guards against bytes after an answer that the next request on the connection gets as its own.
test('the beginning of an answer that no request waits for is no part of the next one', async (t) => {
  const first = 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst';
  const other = 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother';
  let sent: readonly string[] = [];
  const answered = new WeakMap<Socket, number>();
  const backend = await startRawBackend('e1', (socket) => {
    const before = answered.get(socket) ?? 0;
    answered.set(socket, before + 1);
    socket.write(sent[before] ?? '', 'latin1', () => {
      if (before > 0) socket.end();
    });
  });
  const harness = await startHarness({ backends: [backend] });
  t.after(async () => {
    await harness.close();
    await backend.close();
  });
  for (let end = 1; end <= other.length; end += 1) {
    sent = [first + other.slice(0, end), other.slice(end)];
    const answers = [await call(harness.port, '/sheets/1'), await call(harness.port, '/sheets/2')];
    for (const { status, broken, body } of answers) {
      assert.ok(status >= 500 || broken || body === 'first', `${end}: ${status} ${body}`);
    }
  }
});
