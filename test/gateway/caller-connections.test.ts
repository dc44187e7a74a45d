/** Guards against answers and requests that are lost as idle connections of callers are closed for new ones. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import http, { type Server } from 'node:http';
import { type AddressInfo, connect, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { CallerConnections } from '../../src/shell/gateway/caller-connections.js';
import { PendingAnswers } from '../../src/shell/http/pending-answers.js';

/** With the descriptors below. */
const MAX_CONNECTIONS = 9;
const DESCRIPTORS = 216;
/** More than the system buffers for a caller that does not read. */
const LARGE_BYTES = 15_000_000;
const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

let server: Server;
let connections: CallerConnections;
let sockets: Socket[];
let answer: string;
let accepted: Socket[];

beforeEach(async () => {
  sockets = [];
  accepted = [];
  answer = 'served';
  const answers = new PendingAnswers();
  server = http.createServer(({ socket }, response) => {
    answers.add(socket, response);
    response.writeHead(200, { 'Content-Length': answer.length }).end(answer);
  });
  server.on('connection', (socket: Socket) => accepted.push(socket));
  connections = new CallerConnections({
    server,
    isIdle: (socket) => answers.isIdle(socket),
    descriptors: DESCRIPTORS,
    requestsInFlight: () => 0,
    onDropped: () => undefined,
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
});

afterEach(() => {
  for (const socket of sockets) socket.destroy();
  server.close();
  server.closeAllConnections();
});

async function open(): Promise<Socket> {
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  sockets.push(socket);
  socket.on('error', () => undefined);
  await Promise.all([once(socket, 'connect'), once(server, 'connection')]);
  return socket;
}

async function openMany(count: number): Promise<void> {
  for (let opened = 0; opened < count; opened += 1) await open();
}

/** A connection whose caller has had an answer. */
async function openIdle(): Promise<Socket> {
  const socket = await open();
  socket.write(REQUEST);
  await once(socket, 'data');
  return socket;
}

test('an answer that its caller has not read goes on as connections become too many', async () => {
  answer = 'x'.repeat(LARGE_BYTES);
  const slow = await open();
  slow.write(REQUEST);
  await once(server, 'request');
  await openMany(MAX_CONNECTIONS);
  let receivedBytes = 0;
  slow.on('data', (chunk: Buffer) => {
    receivedBytes += chunk.length;
    if (receivedBytes > LARGE_BYTES) slow.end();
  });
  await once(slow, 'close');
  assert.ok(receivedBytes > LARGE_BYTES);
});

test('connections between two requests are closed as connections become too many', async () => {
  const idle = await openIdle();
  await openMany(MAX_CONNECTIONS);
  if (!idle.destroyed) await once(idle, 'close');
  assert.equal(connections.open, MAX_CONNECTIONS);
});

test('a connection whose next request is arriving stays open as connections become too many', async () => {
  const arriving = await openIdle();
  arriving.write(REQUEST.slice(0, -2));
  while ((accepted[0]?.bytesRead ?? 0) <= REQUEST.length) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  await openMany(MAX_CONNECTIONS);
  arriving.write(REQUEST.slice(-2));
  const [received] = await Promise.race([once(arriving, 'data'), once(arriving, 'close')]);
  assert.match(String(received), /^HTTP\/1\.1 200 /);
});
