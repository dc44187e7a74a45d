/** Guards against a link of datagrams that loses or reorders them, or that mixes up replies: the soak would blame daemons. */
import assert from 'node:assert/strict';
import { createSocket, type Socket } from 'node:dgram';
import { once } from 'node:events';
import { test } from 'node:test';
import { DatagramLink } from '../../soak/datagram-link.js';

const HOST = '127.0.0.1';

async function listening(): Promise<Socket> {
  const socket = createSocket('udp4');
  socket.bind(0, HOST);
  await once(socket, 'listening');
  return socket;
}

async function received(socket: Socket, count: number): Promise<readonly string[]> {
  const texts: string[] = [];
  while (texts.length < count) texts.push(String((await once(socket, 'message'))[0]));
  return texts;
}

/** A port that was free a moment ago. */
async function freePort(): Promise<number> {
  const socket = await listening();
  const { port } = socket.address();
  socket.close();
  await once(socket, 'close');
  return port;
}

test('datagrams of a sender come in order as their delay grows and ends, and replies reach their senders', async (t) => {
  const [daemon, left, right] = await Promise.all([listening(), listening(), listening()]);
  const link = new DatagramLink(HOST, daemon.address().port);
  const port = await freePort();
  await link.open(port);
  t.after(() => {
    link.close();
    for (const socket of [daemon, left, right]) socket.close();
  });
  daemon.on('message', (bytes, { port: from, address }) => daemon.send(bytes, from, address));
  const texts = Array.from({ length: 20 }, (_, index) => `${index}`);
  const all = received(daemon, texts.length);
  const replies = [received(left, texts.length / 2), received(right, texts.length / 2)];
  link.begin({ delayMs: 60_000, growsForMs: 1 });
  for (const [index, text] of texts.entries()) {
    const sender = index % 2 === 0 ? left : right;
    await new Promise<void>((resolve) => sender.send(text, port, HOST, () => resolve()));
    await new Promise((resolve) => setTimeout(resolve, 2));
  }
  link.end();
  const isEven = (text: string) => Number(text) % 2 === 0;
  const isOdd = (text: string) => !isEven(text);
  const arrived = await all;
  assert.deepEqual(arrived.filter(isEven), texts.filter(isEven));
  assert.deepEqual(arrived.filter(isOdd), texts.filter(isOdd));
  const [toLeft, toRight] = await Promise.all(replies);
  assert.ok(toLeft?.every(isEven));
  assert.ok(toRight?.every(isOdd));
});
