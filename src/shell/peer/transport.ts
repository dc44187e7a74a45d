/**
 * Transports messages between daemons: small ones as datagrams, others over TCP streams, both on
 * the same port number. Messages are authenticated with the fleet key and validated before they
 * reach the core; those that fail are dropped and counted.
 */
import { createSocket, type Socket } from 'node:dgram';
import { isIP } from 'node:net';
import type { PeerEffect, PeerHeader, PeerReceivedEvent } from '../../core/peer/index.js';
import type { Endpoint } from '../../core/registry/backend.js';
import { type Authenticator, createAuthenticator, TAG_BYTES } from './authentication.js';
import { decodeEnvelope, encodeEnvelope } from './codec.js';
import { createCounters, type DropReason, type PeerCounters } from './counters.js';
import { OutgoingStream } from './outgoing-stream.js';
import { StreamServer } from './stream-server.js';

/** Larger messages are sent over a stream, even if the datagram channel was requested. */
const MAX_DATAGRAM_BYTES = 1_200;

const MAX_OUTGOING_STREAMS = 128;
/** The maximum number of ports tried to find one that is free for both TCP and UDP. */
const MAX_PORT_ATTEMPTS = 20;

/** The settings and callbacks of a transport. */
export interface PeerTransportOptions {
  /** An IP address and a port; port 0 selects a free port. */
  readonly listen: Endpoint;
  readonly fleetKey: string;
  readonly emit: (event: PeerReceivedEvent) => void;
  /** Called for each dropped message; `peer` is null when it is not known. */
  readonly onDropped?: (reason: DropReason, peer: Endpoint | null) => void;
}

/** A transport between daemons. */
export interface PeerTransport {
  /** Starts listening; resolves to the endpoint with the bound port. */
  listen(): Promise<Endpoint>;
  /** Sends a message without any confirmation of delivery. */
  send(effect: PeerEffect, header: PeerHeader): void;
  counters(): Readonly<PeerCounters>;
  close(): Promise<void>;
}

/** Creates a transport. */
export function createPeerTransport(options: PeerTransportOptions): PeerTransport {
  return new SocketTransport(options);
}

class SocketTransport implements PeerTransport {
  private readonly authenticator: Authenticator;
  private readonly totals = createCounters();
  private readonly streams = new Map<string, OutgoingStream>();
  private server: StreamServer | null = null;
  private socket: Socket | null = null;

  constructor(private readonly options: PeerTransportOptions) {
    this.authenticator = createAuthenticator(options.fleetKey);
  }

  async listen(): Promise<Endpoint> {
    const { address, port } = this.options.listen;
    const attempts = port === 0 ? MAX_PORT_ATTEMPTS : 1;
    for (let attempt = 1; ; attempt += 1) {
      try {
        return await this.listenOnce({ address, port });
      } catch (error) {
        await this.close();
        if (attempt >= attempts) {
          throw error;
        }
      }
    }
  }

  send(effect: PeerEffect, header: PeerHeader): void {
    if (this.socket === null) {
      return;
    }
    const content = encodeEnvelope({ header, message: effect.message });
    const fitsDatagram = content.length + TAG_BYTES <= MAX_DATAGRAM_BYTES;
    if (effect.channel === 'datagram' && fitsDatagram) {
      this.sendDatagram(this.socket, effect.to, content);
    } else {
      this.sendOverStream(effect.to, content);
    }
  }

  counters(): Readonly<PeerCounters> {
    return this.totals;
  }

  async close(): Promise<void> {
    const { socket, server } = this;
    this.socket = null;
    this.server = null;
    for (const stream of this.streams.values()) {
      stream.destroy();
    }
    if (socket !== null) {
      await new Promise<void>((resolve) => socket.close(() => resolve()));
    }
    await server?.close();
  }

  private async listenOnce({ address, port }: Endpoint): Promise<Endpoint> {
    this.server = new StreamServer(this.authenticator, {
      onContent: (content, from) => {
        this.totals.framesReceived += 1;
        this.totals.bytesReceived += content.length;
        this.receive(content, from);
      },
      onDropped: (reason) => this.drop(reason, null),
    });
    const bound = await this.server.listen({ address, port });
    this.socket = await this.bindDatagrams({ address, port: bound });
    return { address, port: bound };
  }

  private bindDatagrams({ address, port }: Endpoint): Promise<Socket> {
    const socket = createSocket(isIP(address) === 6 ? 'udp6' : 'udp4');
    return new Promise((resolve, reject) => {
      socket.once('error', (error) => {
        socket.close();
        reject(error);
      });
      socket.bind({ address, port, exclusive: true }, () => {
        socket.removeAllListeners('error');
        socket.on('error', () => this.drop('unreachable', null));
        socket.on('message', (bytes, from) => this.receiveDatagram(bytes, from));
        resolve(socket);
      });
    });
  }

  private sendDatagram(socket: Socket, to: Endpoint, content: Buffer): void {
    const tag = this.authenticator.tag('datagram', content);
    this.totals.datagramsSent += 1;
    this.totals.bytesSent += TAG_BYTES + content.length;
    socket.send([tag, content], to.port, to.address, (error) => {
      if (error !== null) {
        this.drop('unreachable', to);
      }
    });
  }

  private sendOverStream(to: Endpoint, content: Buffer): void {
    const stream = this.streamTo(to);
    if (stream === null || !stream.send(content)) {
      this.drop('queue-full', to);
    }
  }

  private streamTo(to: Endpoint): OutgoingStream | null {
    const key = `${to.address} ${to.port}`;
    const existing = this.streams.get(key);
    if (existing !== undefined) {
      return existing;
    }
    if (this.streams.size >= MAX_OUTGOING_STREAMS) {
      return null;
    }
    const stream = new OutgoingStream(to, this.authenticator, {
      onFrameSent: (bytes) => {
        this.totals.framesSent += 1;
        this.totals.bytesSent += bytes;
      },
      onClosed: (unsent) => {
        this.streams.delete(key);
        for (let index = 0; index < unsent; index += 1) {
          this.drop('unreachable', to);
        }
      },
    });
    this.streams.set(key, stream);
    return stream;
  }

  private receiveDatagram(bytes: Buffer, from: Endpoint): void {
    this.totals.datagramsReceived += 1;
    this.totals.bytesReceived += bytes.length;
    const tag = bytes.subarray(0, TAG_BYTES);
    const content = bytes.subarray(TAG_BYTES);
    if (!this.authenticator.matches(tag, 'datagram', content)) {
      this.drop('unauthenticated', from);
      return;
    }
    this.receive(content, { address: from.address, port: from.port });
  }

  private receive(content: Buffer, from: Endpoint): void {
    const envelope = decodeEnvelope(content);
    if (envelope.isErr()) {
      this.drop('malformed', from);
      return;
    }
    if (this.socket !== null) {
      this.options.emit({ kind: 'peer-received', from, ...envelope.value });
    }
  }

  private drop(reason: DropReason, peer: Endpoint | null): void {
    this.totals.dropped[reason] += 1;
    this.options.onDropped?.(reason, peer);
  }
}
