/**
 * Guards against requests that the soak blames on daemons although they waited in the soak's own process: Node accepts one
 * connection per listener and turn of the event loop, so the connections of a burst are accepted seconds late.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { AcceptMonitor, waitingByPort } from '../../soak/accept-monitor.js';

const TABLE = [
  '  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode',
  '   0: 0100007F:1F90 00000000:0000 0A 00000000:0000002A 00:00000000 00000000     0        0 4122 1 0 100 0 0 10 0',
  '   1: 0201107F:1F91 00000000:0000 0A 00000000:00000007 00:00000000 00000000     0        0 4123 1 0 100 0 0 10 0',
  '   2: 0100007F:1F92 0100007F:A52F 01 00000000:00000005 00:00000000 00000000     0        0 4124 1 0 100 0 0 10 0',
  '',
].join('\n');

let nowMs: number;
let waiting: number;
let server: Server;
let monitor: AcceptMonitor;
const clients: Socket[] = [];

beforeEach(async () => {
  nowMs = 0;
  waiting = 0;
  server = createServer();
  monitor = new AcceptMonitor(
    () => tableWith(portOf(server), waiting),
    () => nowMs,
  );
  monitor.watch(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
});

afterEach(() => {
  for (const client of clients.splice(0)) client.destroy();
  server.close();
});

function portOf(listener: Server): number {
  return (listener.address() as AddressInfo).port;
}

function hex(value: number, digits: number): string {
  return value.toString(16).toUpperCase().padStart(digits, '0');
}

function tableWith(port: number, count: number): string {
  return `   0: 0100007F:${hex(port, 4)} 00000000:0000 0A 00000000:${hex(count, 8)} 00:00000000 0\n`;
}

function pollAt(atMs: number, waitingNow: number): void {
  nowMs = atMs;
  waiting = waitingNow;
  monitor.poll();
}

async function acceptAt(atMs: number): Promise<Socket> {
  nowMs = atMs;
  const accepted = once(server, 'connection') as Promise<[Socket]>;
  clients.push(connect(portOf(server), '127.0.0.1'));
  const [socket] = await accepted;
  clients.push(socket);
  return socket;
}

test('the number of waiting connections is read for listening sockets at 127.0.0.1 only', () => {
  assert.deepEqual([...waitingByPort(TABLE)], [[0x1f90, 0x2a]]);
});

test('a connection has waited since it was first seen waiting, and holds up its first request only', async () => {
  pollAt(100, 1);
  pollAt(200, 3);
  const first = await acceptAt(1_000);
  const second = await acceptAt(1_100);
  const third = await acceptAt(1_300);
  const fourth = await acceptAt(1_400);
  const waitsMs = [first, second, third, fourth].map((socket) => monitor.takeWaitMs(socket));
  assert.deepEqual(waitsMs, [900, 900, 1_100, 0]);
  assert.equal(monitor.takeWaitMs(first), 0);
  assert.equal(monitor.worstMs, 1_100);
});

test('waits are measured at each of many listeners', async () => {
  const listeners = Array.from({ length: 60 }, () => createServer());
  const real = new AcceptMonitor(undefined, () => nowMs);
  for (const listener of listeners) {
    real.watch(listener);
    listener.listen(0, '127.0.0.1');
    await once(listener, 'listening');
  }
  nowMs = 100;
  const accepted = listeners.map((listener) => once(listener, 'connection') as Promise<[Socket]>);
  for (const listener of listeners) clients.push(connect(portOf(listener), '127.0.0.1'));
  // Connections are opened in the next tick, and accepted in the next turn of the event loop.
  await new Promise<void>((resolve) => process.nextTick(resolve));
  real.poll();
  nowMs = 400;
  for (const [socket] of await Promise.all(accepted)) {
    assert.equal(real.takeWaitMs(socket), 300);
    clients.push(socket);
  }
  for (const listener of listeners) listener.close();
});

test('the wait at a link adds to the wait at the server behind it', async () => {
  pollAt(100, 1);
  const atLink = await acceptAt(600);
  pollAt(700, 1);
  const atServer = await acceptAt(750);
  const opened = clients.find(({ localPort }) => localPort === atServer.remotePort);
  assert.ok(opened !== undefined);
  monitor.recordRelay(atLink, opened);
  assert.equal(monitor.takeWaitMs(atServer), 550);
});

test('the connections of a listener that is opened again are counted anew', async () => {
  pollAt(100, 5);
  const port = portOf(server);
  server.close();
  server.listen(port, '127.0.0.1');
  await once(server, 'listening');
  assert.equal(monitor.takeWaitMs(await acceptAt(900)), 0);
});
