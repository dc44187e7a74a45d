import assert from 'node:assert/strict';
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import { afterEach, test } from 'node:test';
import { configurationSchema } from '../../src/core/configuration/document.js';
import { condense, revisionOf } from '../../src/core/digest/condense.js';
import {
  datagram,
  type PeerHeader,
  type PeerMessage,
  type PeerReceivedEvent,
  stream,
} from '../../src/core/peer/index.js';
import type { Endpoint } from '../../src/core/registry/backend.js';
import {
  createPeerTransport,
  type DropReason,
  type PeerTransport,
} from '../../src/shell/peer/index.js';
import { someReport } from './examples.js';

const KEY = 'a fleet key for tests only';
const HEADER: PeerHeader = {
  sender: 'daemon-a',
  incarnation: 1_764_000_000_000,
  sentAt: 1234.5,
  inForce: 3,
  highestVersion: 4,
};
const PULL: PeerMessage = {
  kind: 'configuration-pull',
  above: -1,
  replyTo: { address: '127.0.0.1', port: 7000 },
};

interface Node {
  readonly transport: PeerTransport;
  readonly endpoint: Endpoint;
  /** Resolves with the next received message or the reason of the next drop. */
  next(): Promise<PeerReceivedEvent | DropReason>;
}

const open: PeerTransport[] = [];

async function start(fleetKey = KEY): Promise<Node> {
  const arrived: (PeerReceivedEvent | DropReason)[] = [];
  let wake: (() => void) | null = null;
  const put = (item: PeerReceivedEvent | DropReason) => {
    arrived.push(item);
    wake?.();
  };
  const transport = createPeerTransport({
    listen: { address: '127.0.0.1', port: 0 },
    fleetKey,
    emit: put,
    onDropped: put,
  });
  open.push(transport);
  const endpoint = await transport.listen();
  const next = async () => {
    while (arrived.length === 0) {
      await new Promise<void>((resolve) => {
        wake = resolve;
      });
    }
    return arrived.shift() as PeerReceivedEvent | DropReason;
  };
  return { transport, endpoint, next };
}

afterEach(async () => {
  await Promise.all(open.splice(0).map((transport) => transport.close()));
});

function messageOf(item: PeerReceivedEvent | DropReason): PeerMessage {
  assert.ok(typeof item === 'object', `dropped: ${String(item)}`);
  return item.message;
}

test('messages of membership, digests and configuration arrive unchanged over both channels', async () => {
  const [sender, receiver] = await Promise.all([start(), start()]);
  const endpoint = { address: '10.0.0.1', port: 7000 };
  const update = {
    name: 'daemon-b',
    zone: 'leiden-a',
    endpoint,
    incarnation: 7,
    refutation: 1,
    status: 'suspect',
    suspectedBy: 'daemon-c',
  } as const;
  const updates = [update, { ...update, status: 'left', suspectedBy: null } as const];
  const heartbeats = [{ zone: 'leiden-a', heartbeat: 12 }];
  const document = configurationSchema.parse({ models: { labels: { version: 'v1' } } });
  const report = someReport('e1', { load: { ...someReport('e1').load, kvUsed: 0.123456 } });
  const own = { report, revision: revisionOf(report), askedAt: 0 };
  const messages: readonly PeerMessage[] = [
    { kind: 'ping', sequence: 1, target: 'x', updates, heartbeats },
    { kind: 'ack', sequence: 1, updates: [], heartbeats: [] },
    { kind: 'ping-request', sequence: 2, target: 'x', endpoint, updates },
    {
      kind: 'table-summary',
      replyTo: endpoint,
      zones: [{ zone: 'z', hash: 2 ** 32 - 1, heartbeat: 3 }],
    },
    { kind: 'table', replyTo: endpoint, zones: ['z'], members: updates, answerWanted: true },
    {
      kind: 'engine-interest',
      engines: [
        { engine: 'e1', revision: 7 },
        { engine: 'e2', revision: null },
      ],
    },
    {
      kind: 'engine-digest',
      echo: { incarnation: 5, sentAt: 10, ageMs: 3 },
      engines: [condense(own, 120, null), condense(own, 120.5, own.revision)],
    },
    { kind: 'configuration-announce', version: 4, origin: null },
    PULL,
    { kind: 'configuration-content', version: 4, hash: 'abc', document },
    { kind: 'configuration-busy', version: 4 },
    { kind: 'configuration-confirm', version: 4 },
  ];
  for (const message of messages) {
    for (const effect of [
      datagram(receiver.endpoint, message),
      stream(receiver.endpoint, message),
    ]) {
      sender.transport.send(effect, HEADER);
      const received = await receiver.next();
      assert.deepEqual(messageOf(received), message);
      const sentAt = Math.floor(HEADER.sentAt);
      assert.deepEqual((received as PeerReceivedEvent).header, { ...HEADER, sentAt });
    }
  }
});

test('a message too large for a datagram is sent over a stream', async () => {
  const [sender, receiver] = await Promise.all([start(), start()]);
  const engines = Array.from({ length: 5_000 }, (_, index) => {
    return { engine: `engine-${index}`, revision: null };
  });
  sender.transport.send(datagram(receiver.endpoint, { kind: 'engine-interest', engines }), HEADER);
  assert.deepEqual(messageOf(await receiver.next()), { kind: 'engine-interest', engines });
  assert.equal(sender.transport.counters().datagramsSent, 0);
  assert.equal(sender.transport.counters().framesSent, 1);
});

test('messages authenticated with another fleet key are dropped on both channels', async () => {
  const [stranger, receiver] = await Promise.all([start('another fleet key altogether'), start()]);
  stranger.transport.send(datagram(receiver.endpoint, PULL), HEADER);
  assert.equal(await receiver.next(), 'unauthenticated');
  stranger.transport.send(stream(receiver.endpoint, PULL), HEADER);
  assert.equal(await receiver.next(), 'unauthenticated');
});

test('a datagram with a flipped bit or cut short is dropped as unauthenticated', async () => {
  const [sender, receiver] = await Promise.all([start(), start()]);
  const tap = createSocket('udp4');
  tap.bind(0, '127.0.0.1');
  await once(tap, 'listening');
  sender.transport.send(datagram({ address: '127.0.0.1', port: tap.address().port }, PULL), HEADER);
  const [bytes] = (await once(tap, 'message')) as [Buffer];
  const send = (changed: Buffer) => tap.send(changed, receiver.endpoint.port, '127.0.0.1');
  for (const place of [0, 15, 16, bytes.length - 1]) {
    const changed = Buffer.from(bytes);
    changed.writeUInt8(changed.readUInt8(place) ^ 1, place);
    send(changed);
    assert.equal(await receiver.next(), 'unauthenticated');
  }
  send(bytes.subarray(0, 10));
  assert.equal(await receiver.next(), 'unauthenticated');
  send(bytes);
  assert.deepEqual(messageOf(await receiver.next()), PULL);
  tap.close();
});

test('a frame recorded on one connection and replayed on another is dropped', async () => {
  const [sender, receiver] = await Promise.all([start(), start()]);
  const recorded: Buffer[] = [];
  const tap = createServer((socket) => {
    socket.write(Buffer.alloc(16, 7));
    socket.on('data', (chunk) => recorded.push(chunk));
    socket.on('error', () => socket.destroy());
    socket.once('data', () => tap.emit('recorded'));
  });
  tap.listen(0, '127.0.0.1');
  await once(tap, 'listening');
  const address = tap.address();
  assert.ok(typeof address === 'object' && address !== null);
  sender.transport.send(stream({ address: '127.0.0.1', port: address.port }, PULL), HEADER);
  await once(tap, 'recorded');
  tap.close();
  const replay = connect(receiver.endpoint.port, '127.0.0.1');
  replay.on('error', () => replay.destroy());
  replay.resume();
  replay.write(Buffer.concat(recorded));
  assert.equal(await receiver.next(), 'unauthenticated');
  await once(replay, 'close');
});

test('an authenticated message with invalid fields is dropped as malformed', async () => {
  const [sender, receiver] = await Promise.all([start(), start()]);
  const wrong = { kind: 'configuration-busy', version: -1 } as const;
  sender.transport.send(datagram(receiver.endpoint, wrong), HEADER);
  assert.equal(await receiver.next(), 'malformed');
  const named = { address: 'example.org', port: 7000 };
  const message: PeerMessage = { kind: 'configuration-pull', above: 0, replyTo: named };
  sender.transport.send(datagram(receiver.endpoint, message), HEADER);
  assert.equal(await receiver.next(), 'malformed');
  assert.equal(receiver.transport.counters().dropped.malformed, 2);
});

test('a message to a closed endpoint is dropped as unreachable without an error', async () => {
  const [sender, receiver] = await Promise.all([start(), start()]);
  const gone = receiver.endpoint;
  await receiver.transport.close();
  sender.transport.send(stream(gone, PULL), HEADER);
  assert.equal(await sender.next(), 'unreachable');
});
