/** Guards against callers that send requests without reading answers: all of them were parsed and held at once. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import http, { type Server, type ServerResponse } from 'node:http';
import { type AddressInfo, connect, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { ConnectionBackpressure } from '../../src/shell/gateway/connection-backpressure.js';
import { feedInPieces } from '../../src/shell/gateway/parser-feed.js';
import { TurnBudget } from '../../src/shell/gateway/turn-budget.js';
import { PendingAnswers } from '../../src/shell/http/pending-answers.js';

const GET = 'GET /1 HTTP/1.1\r\nHost: a\r\n\r\n';
const POST = 'POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nsheet';
/** Many times what the event loop reads of a connection at once, which is some 2,000 of them. */
const REQUESTS = 20_000;
const MOST_HELD = 100;

let server: Server;
let caller: Socket;
let unanswered: ServerResponse[];
let arrived: number;
let bodies: string[];

beforeEach(async () => {
  unanswered = [];
  arrived = 0;
  bodies = [];
  const backpressure = new ConnectionBackpressure();
  const answers = new PendingAnswers((socket, pending) => backpressure.update(socket, pending));
  server = http.createServer((request, response) => {
    arrived += 1;
    answers.add(request.socket, response);
    request.on('data', (chunk: Buffer) => bodies.push(chunk.toString()));
    unanswered.push(response);
    server.emit('arrived');
  });
  const feed = {
    isHeld: (socket: Socket) => backpressure.isHeld(socket),
    isReadingBody: () => false,
    onPiece: () => undefined,
    budget: new TurnBudget({ nowMs: () => 0 }),
  };
  server.on('connection', (socket: Socket) => feedInPieces(socket, feed));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
});

afterEach(() => {
  caller.destroy();
  server.closeAllConnections();
  server.close();
});

async function turns(count: number): Promise<void> {
  for (let turn = 0; turn < count; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** Answers everything that arrives. */
async function answerAll(count: number): Promise<void> {
  while (arrived < count || unanswered.length > 0) {
    for (const response of unanswered.splice(0)) response.end('served');
    await turns(1);
  }
}

function countAnswers(): () => number {
  let text = '';
  let count = 0;
  caller.on('data', (chunk: Buffer) => {
    text += chunk.toString('latin1');
    const parts = text.split('HTTP/1.1 200 OK');
    count += parts.length - 1;
    text = parts.at(-1)?.slice(-'HTTP/1.1 200 O'.length) ?? '';
  });
  return () => count;
}

for (const [kind, request] of [
  ['without a body', GET],
  ['with a body', POST],
] as const) {
  test(`pipelined requests ${kind} are read as earlier ones are answered, and all of them are`, async () => {
    const answered = countAnswers();
    caller.write(request.repeat(REQUESTS));
    await once(server, 'arrived');
    await turns(200);
    assert.ok(arrived < MOST_HELD, `${arrived} requests held`);
    await answerAll(REQUESTS);
    while (answered() < REQUESTS) await once(caller, 'data');
    if (request === POST) assert.equal(bodies.join(''), 'sheet'.repeat(REQUESTS));
  });
}

test('a caller that leaves before its one answer is noticed at once', async () => {
  caller.write(GET);
  await once(server, 'arrived');
  const [response] = unanswered;
  assert.ok(response !== undefined);
  caller.destroy();
  await once(response, 'close');
});
