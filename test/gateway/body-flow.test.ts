/** Guards against answers in tiny chunks that are as many writes to the caller, or keep the event loop from everything else. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { tinyChunks } from '../../soak/wire-requests.js';
import { HeldBytes } from '../../src/shell/bytes/index.js';
import { BodyFlow } from '../../src/shell/gateway/body-flow.js';
import { ReadTurns } from '../../src/shell/gateway/read-turns.js';
import { writeTinyChunksWithoutEnd } from '../resources/support/tiny-chunks.js';

const BODY_BYTES = 50_000;
/** A connection is read in parts of 64 KiB; the body takes six bytes on the wire for each of its own. */
const MAX_PIECES = 40;
/** As many bytes of a body as two reads can bring. */
const TWO_READS_BYTES = 22_000;
const LAST_CHUNK = '0\r\n\r\n';

let server: http.Server;
let answerWith: (response: ServerResponse) => void;
let held: HeldBytes;

beforeEach(async () => {
  held = new HeldBytes();
  server = http.createServer((_, response) => answerWith(response));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
});

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

async function call(): Promise<IncomingMessage> {
  const { port } = server.address() as AddressInfo;
  const request = http.get({ port, host: '127.0.0.1', agent: false });
  const [message] = (await once(request, 'response')) as [IncomingMessage];
  request.on('error', () => undefined);
  message.on('error', () => undefined);
  return message;
}

test('a body in chunks of one byte is delivered in a piece for each read, and completely', async () => {
  answerWith = (response) => {
    response.flushHeaders();
    response.socket?.write(tinyChunks(BODY_BYTES));
    response.socket?.write(LAST_CHUNK);
  };
  const message = await call();
  const pieces: number[] = [];
  await new Promise<void>((resolve) => {
    const receive = (bytes: Buffer) => pieces.push(bytes.length);
    const turns = new ReadTurns();
    new BodyFlow(message, { receive, end: resolve, close: () => undefined }, { held, turns });
  });
  assert.equal(
    pieces.reduce((sum, bytes) => sum + bytes, 0),
    BODY_BYTES,
  );
  assert.ok(pieces.length <= MAX_PIECES, `${pieces.length} pieces`);
  assert.deepEqual([held.bytes, held.objects], [0, 0]);
});

test('a paused body is read no further, and goes on where it was', async () => {
  answerWith = writeTinyChunksWithoutEnd;
  const message = await call();
  let received = 0;
  let flow: BodyFlow | undefined;
  const firstPiece = new Promise<void>((resolve) => {
    const receive = (bytes: Buffer) => {
      received += bytes.length;
      flow?.pause();
      resolve();
    };
    const receiver = { receive, end: () => undefined, close: () => undefined };
    flow = new BodyFlow(message, receiver, { held, turns: new ReadTurns() });
  });
  await firstPiece;
  const receivedWhenPaused = received;
  for (let turn = 0; turn < 50; turn += 1) await new Promise(setImmediate);
  assert.equal(received, receivedWhenPaused);
  assert.ok(message.readableLength <= TWO_READS_BYTES, `${message.readableLength} chunks are kept`);
  flow?.resume();
  while (received === receivedWhenPaused) await new Promise(setImmediate);
  message.destroy();
});

test('bodies in tiny chunks are read in turn, one in each turn of the event loop', async () => {
  const turns = new ReadTurns();
  const taken: string[] = [];
  for (const name of ['first', 'second', 'third']) turns.wait(() => taken.push(name));
  assert.equal(taken.length, 0);
  await new Promise(setImmediate);
  assert.equal(taken.join(), 'first');
  turns.wait(() => taken.push('fourth'));
  await new Promise(setImmediate);
  await new Promise(setImmediate);
  assert.equal(taken.join(), 'first,second,third');
  await new Promise(setImmediate);
  assert.equal(taken.join(), 'first,second,third,fourth');
});
