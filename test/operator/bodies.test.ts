/** Guards against a daemon that ends as operators' bodies take more memory than there is. */
import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { type TestContext, test } from 'node:test';
import type { OperatorLimits } from '../../src/shell/operator/limits.js';
import { inTinyChunks, measureJoinedBytes } from '../bytes/support/joined-bytes.js';
import { READ_TOKEN, StubBackend, startStub } from './stub-backend.js';

const MAX_JOINED_BUFFERS = 32;
const BODY_BYTES = 200_000;
const HEAD = [
  'POST /v1/query HTTP/1.1',
  'host: x',
  `authorization: Bearer ${READ_TOKEN}`,
  'content-type: application/json',
  'connection: close',
].join('\r\n');
const CHUNKED_HEAD = `${HEAD}\r\ntransfer-encoding: chunked\r\n\r\n`;

interface Caller {
  readonly socket: Socket;
  /** All that was received once the connection is closed. */
  readonly answer: Promise<string>;
}

type Open = (text: string) => Caller;

async function start(context: TestContext, limits: Partial<OperatorLimits>): Promise<Open> {
  const { server, address } = await startStub(new StubBackend(), { limits });
  const callers: Socket[] = [];
  context.after(async () => {
    for (const socket of callers) socket.destroy();
    await server.close();
  });
  const [host, port] = address.split(':');
  return (text) => {
    const socket = connect(Number(port), host);
    callers.push(socket);
    socket.on('error', () => socket.destroy());
    let received = '';
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
    });
    const answer = new Promise<string>((resolve) => socket.once('close', () => resolve(received)));
    socket.write(text);
    return { socket, answer };
  };
}

test('a body in chunks of one byte is not kept as an object for each byte', async (t) => {
  const joined = measureJoinedBytes(t);
  const open = await start(t, {});
  const text = JSON.stringify({ text: `engines where zone = "${'x'.repeat(BODY_BYTES)}"` });
  const { answer } = open(`${CHUNKED_HEAD}${inTinyChunks(text)}`);
  assert.match(await answer, /^HTTP\/1\.1 /);
  assert.ok(joined.mostBuffers <= MAX_JOINED_BUFFERS, `${joined.mostBuffers} Buffers`);
});

test('bodies for which there is no memory beside others are refused as not run', async (t) => {
  const open = await start(t, { allBodiesBytes: 1.5 * BODY_BYTES });
  const body = 'x'.repeat(BODY_BYTES);
  const unfinished = `${HEAD}\r\ncontent-length: ${BODY_BYTES + 1}\r\n\r\n${body}`;
  const callers = [open(unfinished), open(unfinished)];
  const answer = await Promise.race(callers.map((caller) => caller.answer));
  assert.match(answer, /^HTTP\/1\.1 503 /);
  assert.match(answer, /refused-not-run/);
  for (const { socket } of callers) socket.destroy();
});

// Guards against a refusal that is lost as the connection is cut under it.
test('a chunked body that is too large is told so', async (t) => {
  const open = await start(t, { bodyBytes: 1_000 });
  const { answer } = open(`${CHUNKED_HEAD}7d0\r\n${'x'.repeat(2_000)}\r\n`);
  assert.match(await answer, /^HTTP\/1\.1 413 /);
});
