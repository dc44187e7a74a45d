/** Guards against a stop that accepts connections for as long as callers that are turned away connect again. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { type AddressInfo, connect, createServer } from 'node:net';
import { test } from 'node:test';
import { acceptWaiting } from '../../src/shell/http/accept-queue.js';

const CALLERS = 8;
const TURNS = 20;

test('connections are accepted no longer than there is time, although their callers connect again', async () => {
  let isOver = false;
  const server = createServer((socket) => socket.destroy());
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const come = () => {
    if (isOver) return;
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => undefined);
    socket.once('close', come);
  };
  for (let caller = 0; caller < CALLERS; caller += 1) come();
  await once(server, 'connection');
  let turns = 0;
  await acceptWaiting(server, () => {
    turns += 1;
    return turns <= TURNS;
  });
  isOver = true;
  server.close();
  assert.ok(turns <= TURNS + 1, `${turns} turns`);
});
