/** Guards against a process that ends or answers nobody as servers send bytes without end in place of an answer's head. */
import assert from 'node:assert/strict';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { afterEach, test } from 'node:test';
import { answer, RealGateway, type TestRequest } from './support/real-gateway.js';

const WAIT_MS = 60_000;
const BYTES_PER_MEGABYTE = 1_048_576;
const MAX_OLD_SPACE_MB = 64;
const MEMORY_MB = 300;
const REQUESTS = 20;
const REPETITIONS = 4_096;
const MODEL_HEADERS = { 'X-Model': 'm', 'X-Token-Count': '300,4', 'X-Prompt-Prefix': 'cc:300' };
/** At a faulty engine, while the web server is sound. */
const FAULTY: TestRequest = { path: '/model/1', headers: MODEL_HEADERS };
const HEAD = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;

/** What a faulty engine sends once, and what it repeats until its connection is closed. */
const FAULTS = {
  'interim answers': ['', 'HTTP/1.1 103 Early Hints\r\n\r\n'],
  'a header field': [`${HEAD}A: `, 'b'],
  'header fields': [HEAD, 'A: b\r\n'],
  'empty lines': ['', '\r\n'],
  'bytes that are no HTTP': ['', 'x'],
  'chunk extensions': [CHUNKED, '1;a=b\r\nx\r\n'],
  trailers: [`${CHUNKED}0\r\n`, 'A: b\r\n'],
} as const;

let gateway: RealGateway | undefined;

afterEach(() => gateway?.stop());

for (const [name, [first, repeated]] of Object.entries(FAULTS)) {
  test(`a process lives and answers beside an engine that sends ${name} without end`, async () => {
    const to = new RealGateway({ maxOldSpaceMb: MAX_OLD_SPACE_MB, memoryMb: MEMORY_MB });
    gateway = to;
    await to.start();
    const chunk = Buffer.from(repeated.repeat(REPETITIONS));
    const serveFaulty = ({ socket }: IncomingMessage): void => {
      socket.write(first);
      writeWithoutEnd(socket, chunk);
    };
    to.serveCall = serveFaulty;
    to.serve = (request: IncomingMessage, response: ServerResponse) => {
      if (request.url === FAULTY.path) serveFaulty(request);
      else answer(request, response);
    };
    const faulty = Array.from({ length: REQUESTS }, () => to.send(FAULTY));
    const sound = to.send({});
    await to.waitUntil(() => sound.status !== undefined, WAIT_MS);
    assert.equal(sound.status, 200, to.output.slice(-2_000));
    await to.waitUntil(() => faulty.every(({ status }) => status !== undefined), WAIT_MS);
    assert.equal(to.end, undefined, to.output.slice(-2_000));
    const resident = await to.metric('threadfork_gateway_memory_bytes{kind="resident"}');
    assert.ok(Number(resident) < MEMORY_MB * BYTES_PER_MEGABYTE, `${resident} bytes`);
  });
}

function writeWithoutEnd(socket: Socket, chunk: Buffer): void {
  socket.on('error', () => socket.destroy());
  const write = () => {
    if (!socket.destroyed) socket.write(chunk, () => setImmediate(write));
  };
  write();
}
