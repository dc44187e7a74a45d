/**
 * Guards against a soak link that reorders a stream, as seen with seed 202 of a soak: bytes that arrive after the end of a
 * delay must not overtake bytes that are still delayed. Also guards against connections that outlive their link, one of which kept
 * the process of a soak from ending.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { type AddressInfo, connect, createServer, Socket } from 'node:net';
import { mock, test } from 'node:test';
import { LinkProxy } from '../../soak/link-proxy.js';
import { deferred } from '../gateway/support/deferred.js';

/** Turns of the event loop in which a link notices that a connection was closed. */
const TURNS_UNTIL_NOTICED = 50;

async function read(socket: Socket, length: number): Promise<string> {
  let text = '';
  while (text.length < length) {
    const [chunk] = (await once(socket, 'data')) as [Buffer];
    text += chunk.toString('utf8');
  }
  return text;
}

async function turns(): Promise<void> {
  for (let turn = 0; turn < TURNS_UNTIL_NOTICED; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

test('a link keeps the order of bytes when a delay ends, and closes the connection after the last byte', async () => {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const link = new LinkProxy(() => (server.address() as AddressInfo).port);
  await link.open();
  const accepted = once(server, 'connection') as Promise<[Socket]>;
  const daemon = connect(Number(link.address.split(':')[1]), '127.0.0.1');
  const [peer] = await accepted;
  peer.write('before ');
  let text = await read(daemon, 'before '.length);
  daemon.on('data', (chunk: Buffer) => {
    text += chunk.toString('utf8');
  });
  const ended = once(daemon, 'close');
  link.begin('delay');
  peer.write('delayed ');
  const echoed = once(peer, 'data');
  daemon.write('the link has had both');
  await echoed;
  link.end();
  peer.end('after');
  await ended;
  assert.equal(text, 'before delayed after');
  link.close();
  server.close();
});

test('a link that is closed also closes the side of a silent connection whose other side had gone', {
  timeout: 10_000,
}, async () => {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const link = new LinkProxy(() => (server.address() as AddressInfo).port);
  await link.open();
  const accepted = once(server, 'connection') as Promise<[Socket]>;
  const daemon = connect(Number(link.address.split(':')[1]), '127.0.0.1');
  const [peer] = await accepted;
  peer.on('error', () => undefined);
  peer.resume();
  link.begin('silent');
  daemon.destroy();
  await once(daemon, 'close');
  await turns();
  const closed = new Promise((resolve) => peer.once('close', resolve));
  link.close();
  await closed;
  server.close();
});

/** Collects the errors of all connections that are closed after what was written to them was sent. */
function recordFaults(onEnding: (socket: Socket) => void): Error[] {
  const faults: Error[] = [];
  const { destroySoon } = Socket.prototype;
  mock.method(Socket.prototype, 'destroySoon', function (this: Socket) {
    this.on('error', (error) => faults.push(error));
    destroySoon.call(this);
    onEnding(this);
  });
  return faults;
}

test('a link that is closed while the end of a connection is being sent closes it', {
  timeout: 10_000,
}, async () => {
  const server = createServer((peer) => peer.on('error', () => undefined).resume());
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const link = new LinkProxy(() => (server.address() as AddressInfo).port);
  await link.open();
  const daemon = connect(Number(link.address.split(':')[1]), '127.0.0.1');
  daemon.on('error', () => undefined);
  await once(server, 'connection');
  await turns();
  const ending = deferred<Socket>();
  const faults = recordFaults((socket) => {
    ending.resolve(socket);
    link.close();
  });
  daemon.destroy();
  const socket = await ending.promise;
  if (!socket.closed) await once(socket, 'close');
  mock.restoreAll();
  assert.deepEqual(faults, []);
  server.close();
});

for (const [how, end, received] of [
  ['closed', (socket: Socket) => socket.end(), 'held'],
  ['reset', (socket: Socket) => socket.resetAndDestroy(), ''],
] as const) {
  test(`a link that held what was sent delivers ${received === '' ? 'none of it' : 'all of it'} later on a connection that was ${how}`, {
    timeout: 10_000,
  }, async () => {
    const server = createServer().listen(0, '127.0.0.1');
    await once(server, 'listening');
    const link = new LinkProxy(() => (server.address() as AddressInfo).port);
    await link.open();
    link.begin('hold');
    const accepted = once(server, 'connection') as Promise<[Socket]>;
    const daemon = connect(Number(link.address.split(':')[1]), '127.0.0.1');
    daemon.on('error', () => undefined);
    const [peer] = await accepted;
    let text = '';
    peer.on('error', () => undefined);
    peer.on('data', (chunk: Buffer) => {
      text += chunk.toString('utf8');
    });
    const closed = new Promise((resolve) => peer.once('close', resolve));
    daemon.write('held');
    await turns();
    end(daemon);
    await turns();
    assert.equal(text, '');
    link.end();
    await closed;
    assert.equal(text, received);
    link.close();
    server.close();
  });
}
