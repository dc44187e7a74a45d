/** The TCP relay that emulates a network link in fault tests. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import {
  type AddressInfo,
  createConnection,
  createServer,
  type Server,
  type Socket,
} from 'node:net';
import { after, before, test } from 'node:test';
import { Link } from '../../src/lab/network/index.js';

let echo: Server;
const sockets = new Set<Socket>();
const links: Link[] = [];
const received: string[] = [];

before(async () => {
  echo = createServer({ allowHalfOpen: true }, (socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      received.push(String(chunk));
      socket.write(chunk);
    });
    socket.on('end', () => socket.end('bye'));
  });
  echo.listen(0, '127.0.0.1');
  await once(echo, 'listening');
});
after(async () => {
  for (const link of links) await link.close();
  for (const socket of sockets) socket.destroy();
  await new Promise((resolve) => echo.close(resolve));
});

/** Resolves when a socket has closed, also after a reset. */
function closed(socket: Socket): Promise<unknown> {
  return socket.closed ? Promise.resolve() : new Promise((done) => socket.once('close', done));
}

async function connected(): Promise<{ link: Link; client: Socket; answers: string[] }> {
  const { port } = echo.address() as AddressInfo;
  const link = await Link.open({ address: '127.0.0.1', port });
  links.push(link);
  const client = createConnection({ host: link.endpoint.address, port: link.endpoint.port });
  const answers: string[] = [];
  client.on('error', () => undefined);
  client.on('data', (chunk) => answers.push(String(chunk)));
  await once(client, 'connect');
  client.write('first');
  await once(client, 'data');
  return { link, client, answers };
}

/** A complete exchange over another link, which gives earlier bytes time to reach the relay. */
async function roundTrip(): Promise<void> {
  const { client } = await connected();
  client.destroy();
  await closed(client);
}

test('bytes are relayed both ways, and the end of one direction leaves the other open', async () => {
  const { client, answers } = await connected();
  client.end('last');
  await once(client, 'end');
  assert.equal(answers.join(''), 'firstlastbye');
});

test('a cut towards the target holds requests; healing delivers them in order', async () => {
  const { link, client, answers } = await connected();
  link.cut('to-target');
  client.write('held-1 ');
  client.write('held-2');
  await roundTrip();
  assert.equal(received.join('').includes('held'), false);
  link.heal();
  while (!answers.join('').endsWith('held-2')) await once(client, 'data');
  assert.equal(answers.join(''), 'firstheld-1 held-2');
});

test('a cut from the target forwards the request and holds its answer until it heals', async () => {
  const { link, client, answers } = await connected();
  link.cut('from-target');
  const arrived = once([...sockets].at(-1) as Socket, 'data');
  client.write('one-way');
  await arrived;
  await roundTrip();
  assert.deepEqual(answers, ['first']);
  link.heal('from-target');
  await once(client, 'data');
  assert.deepEqual(answers, ['first', 'one-way']);
});

test('delays in both directions add up over a round trip', async () => {
  const { link, client } = await connected();
  link.delay('both', 40);
  const sentAt = performance.now();
  client.write('slow');
  await once(client, 'data');
  assert.ok(performance.now() - sentAt >= 80);
});

test('loss closes the connection, and breakConnections closes both of its sides', async () => {
  const lossy = await connected();
  lossy.link.lose('to-target', 1, 1);
  lossy.client.write('lost');
  await closed(lossy.client);
  assert.equal(received.includes('lost'), false);
  const broken = await connected();
  const far = [...sockets].at(-1) as Socket;
  broken.link.breakConnections();
  await Promise.all([closed(broken.client), closed(far)]);
  assert.equal(broken.link.openConnections, 0);
});

test('a cut direction stops reading at its buffer limit and delivers all bytes after healing', async () => {
  const { link, client } = await connected();
  link.cut('to-target');
  const size = 8 * 1024 * 1024;
  let back = 0;
  const allReceived = new Promise<void>((resolve) => {
    client.on('data', (chunk) => {
      back += chunk.length;
      if (back === size) resolve();
    });
  });
  client.write(Buffer.alloc(size, 'x'));
  await roundTrip();
  assert.ok(client.bytesWritten > 0 && client.writableLength > 0);
  link.heal();
  await allReceived;
});
