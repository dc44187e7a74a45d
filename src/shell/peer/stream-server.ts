/** Accepts connections of other daemons and reads their frames. */
import { randomBytes } from 'node:crypto';
import { createServer, type Server, type Socket } from 'node:net';
import type { Endpoint } from '../../core/registry/backend.js';
import type { Authenticator } from './authentication.js';
import type { DropReason } from './counters.js';
import { FrameReader, NONCE_BYTES } from './frames.js';

const MAX_CONNECTIONS = 1_024;
const IDLE_TIMEOUT_MS = 30_000;

/** Receives the events of the server. */
export interface StreamServerListener {
  onContent(content: Buffer, from: Endpoint): void;
  onDropped(reason: DropReason): void;
}

/** A server that tracks its connections, so that closing it can close them. */
export class StreamServer {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  constructor(
    private readonly authenticator: Authenticator,
    private readonly listener: StreamServerListener,
  ) {
    this.server = createServer({ noDelay: true }, (socket) => this.accept(socket));
    this.server.maxConnections = MAX_CONNECTIONS;
    this.server.on('drop', () => this.listener.onDropped('too-many-connections'));
  }

  /** Starts listening; resolves to the bound port. */
  listen({ address, port }: Endpoint): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ host: address, port }, () => {
        this.server.off('error', reject);
        this.server.on('error', () => this.listener.onDropped('unreachable'));
        const bound = this.server.address();
        resolve(typeof bound === 'object' && bound !== null ? bound.port : port);
      });
    });
  }

  /** Stops listening and closes all connections at once. */
  close(): Promise<void> {
    for (const socket of this.sockets) {
      socket.destroy();
    }
    return new Promise((resolve) => this.server.close(() => resolve()));
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    const nonce = randomBytes(NONCE_BYTES);
    const reader = new FrameReader(this.authenticator, nonce);
    const from = { address: socket.remoteAddress ?? '', port: socket.remotePort ?? 0 };
    socket.setTimeout(IDLE_TIMEOUT_MS, () => socket.destroy());
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', (chunk) => {
      const outcome = reader.read(chunk);
      if (outcome.kind === 'broken') {
        this.listener.onDropped(outcome.reason);
        socket.destroy();
        return;
      }
      for (const content of outcome.contents) {
        this.listener.onContent(content, from);
      }
    });
    socket.write(nonce);
  }
}
