/** A connection to another daemon: waits for its nonce, then writes frames until it is idle. */
import { connect, type Socket } from 'node:net';
import type { Endpoint } from '../../core/registry/backend.js';
import type { Authenticator } from './authentication.js';
import { FrameWriter, NONCE_BYTES } from './frames.js';

const CONNECT_TIMEOUT_MS = 2_000;
const IDLE_TIMEOUT_MS = 10_000;
const MAX_QUEUED_FRAMES = 64;
const MAX_QUEUED_BYTES = 34_000_000;

/** Receives the events of a connection. */
export interface OutgoingStreamListener {
  onFrameSent(bytes: number): void;
  /** Called when the connection has closed; `unsent` is the number of messages not written. */
  onClosed(unsent: number): void;
}

/** A connection that is opened by its constructor. */
export class OutgoingStream {
  private readonly socket: Socket;
  private readonly queue: Buffer[] = [];
  private queuedBytes = 0;
  private nonce = Buffer.alloc(0);
  private writer: FrameWriter | null = null;

  constructor(
    endpoint: Endpoint,
    private readonly authenticator: Authenticator,
    private readonly listener: OutgoingStreamListener,
  ) {
    this.socket = connect({ host: endpoint.address, port: endpoint.port, noDelay: true });
    this.socket.setTimeout(CONNECT_TIMEOUT_MS, () => this.socket.destroy());
    this.socket.on('data', (chunk) => this.receive(chunk));
    this.socket.on('error', () => this.socket.destroy());
    this.socket.on('end', () => this.socket.destroy());
    this.socket.on('close', () => this.listener.onClosed(this.queue.length));
  }

  /** Queues a message; returns false when the queue is full. */
  send(content: Buffer): boolean {
    const unwrittenBytes = this.queuedBytes + this.socket.writableLength;
    if (
      this.queue.length >= MAX_QUEUED_FRAMES ||
      unwrittenBytes + content.length > MAX_QUEUED_BYTES
    ) {
      return false;
    }
    this.queue.push(content);
    this.queuedBytes += content.length;
    this.flush();
    return true;
  }

  /** Closes the connection at once. */
  destroy(): void {
    this.socket.destroy();
  }

  private receive(chunk: Buffer): void {
    if (this.writer !== null) {
      this.socket.destroy();
      return;
    }
    this.nonce = Buffer.concat([this.nonce, chunk]);
    if (this.nonce.length > NONCE_BYTES) {
      this.socket.destroy();
    } else if (this.nonce.length === NONCE_BYTES) {
      this.writer = new FrameWriter(this.authenticator, this.nonce);
      this.socket.setTimeout(IDLE_TIMEOUT_MS);
      this.flush();
    }
  }

  private flush(): void {
    if (this.writer === null) {
      return;
    }
    for (const content of this.queue.splice(0)) {
      this.queuedBytes -= content.length;
      const frame = this.writer.write(content);
      this.socket.write(frame);
      this.listener.onFrameSent(frame.length);
    }
  }
}
