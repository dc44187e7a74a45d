/**
 * The body of an answer that is passed on while it arrives. What one read of the connection brought is delivered as one
 * piece: tiny chunks would otherwise be as many writes, with some objects each while the reader of the answer is behind.
 */
import type { IncomingMessage } from 'node:http';
import { ByteCollector, type HeldBytes } from '../bytes/index.js';

/** Receives a body. */
export interface BodyReceiver {
  /** Receives the bytes of one read. */
  readonly receive: (bytes: Buffer) => void;
  /** Called once when the message has ended, after its last bytes. */
  readonly end: () => void;
  /** Called once when the message has closed. */
  readonly close: () => void;
}

/** The flow of one body. */
export class BodyFlow {
  readonly #message: IncomingMessage;
  readonly #receiver: BodyReceiver;
  readonly #arrived: ByteCollector;
  #isConnectionPaused = false;

  /** @param held counts what waits to be delivered */
  constructor(message: IncomingMessage, receiver: BodyReceiver, held: HeldBytes) {
    this.#message = message;
    this.#receiver = receiver;
    this.#arrived = new ByteCollector(held);
    message.on('data', this.#add);
    message.once('end', this.#end);
    message.once('close', this.#close);
  }

  /**
   * Reads no more of the connection, whose parser would otherwise keep each chunk as an object of its own. The connection of
   * a message that has arrived completely may already carry another one.
   */
  pause(): void {
    const message = this.#message;
    message.pause();
    if (message.complete) return;
    this.#isConnectionPaused = true;
    message.socket.pause();
  }

  resume(): void {
    if (this.#isConnectionPaused) this.#message.socket.resume();
    this.#isConnectionPaused = false;
    this.#message.resume();
  }

  readonly #add = (chunk: Buffer): void => {
    // Microtasks run after the parser has gone through all that was read, and after its ticks, which would resume a pause.
    if (this.#arrived.length === 0) queueMicrotask(this.#deliver);
    this.#arrived.add(chunk);
  };

  readonly #deliver = (): void => {
    if (this.#arrived.length === 0) return;
    const bytes = this.#arrived.join();
    this.#arrived.clear();
    this.#receiver.receive(bytes);
  };

  readonly #end = (): void => {
    this.#deliver();
    this.#receiver.end();
  };

  readonly #close = (): void => {
    this.#deliver();
    this.#receiver.close();
  };
}
