/** Guards against connections that are never closed because they were reset while they were opened. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { resetSocket } from '../../src/shell/http/reset-socket.js';

let server: Server;
const accepted: Socket[] = [];

beforeEach(async () => {
  server = createServer((socket) => {
    accepted.push(socket);
    socket.on('error', () => undefined);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
});

afterEach(() => {
  for (const socket of accepted.splice(0)) socket.destroy();
  server.close();
});

function open(): Socket {
  return connect((server.address() as AddressInfo).port, '127.0.0.1');
}

/** Waits until a connection is closed; an error fails the test. */
async function assertCloses(socket: Socket): Promise<void> {
  if (!socket.closed) await once(socket, 'close');
}

test('a connection that is reset while it is opened, and then ended, is closed', async () => {
  const socket = open();
  socket.once('connect', () => socket.destroySoon());
  resetSocket(socket);
  await assertCloses(socket);
});

test('an open connection that is reset is closed, and its other side sees the reset', async () => {
  const socket = open();
  const [[other]] = (await Promise.all([once(server, 'connection'), once(socket, 'connect')])) as [
    [Socket],
    unknown,
  ];
  const hadError = new Promise((resolve) => other.once('close', resolve));
  resetSocket(socket);
  await assertCloses(socket);
  assert.equal(await hadError, true);
});
