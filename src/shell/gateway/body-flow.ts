/**
 * The body of an answer while it arrives. What one read of the connection brought is delivered as one piece: tiny chunks would
 * otherwise be as many writes, with some objects each while the receiver is behind. An answer in tiny chunks is read in turn
 * with others of that kind.
 */
import type { IncomingMessage } from 'node:http';
import { ByteCollector, type HeldBytes } from '../bytes/index.js';
import type { ReadTurns } from './read-turns.js';

/** A read that brings more of them takes the parser several milliseconds. */
const MANY_CHUNKS = 1_000;

/** Receives a body. */
export interface BodyReceiver {
  /** Receives the bytes of one read. */
  readonly receive: (bytes: Buffer) => void;
  /** Called once when the message has ended, after its last bytes. */
  readonly end: () => void;
  /** Called once when the message has closed. */
  readonly close: () => void;
}

/** What the bodies of one process share. */
export interface FlowContext {
  /** Counts what waits to be delivered. */
  readonly held: HeldBytes;
  readonly turns: Pick<ReadTurns, 'wait'>;
}

/** The flow of one body. */
export class BodyFlow {
  readonly #message: IncomingMessage;
  readonly #receiver: BodyReceiver;
  readonly #turns: Pick<ReadTurns, 'wait'>;
  readonly #arrived: ByteCollector;
  #arrivedChunks = 0;
  #isPausedByReceiver = false;
  #waitsForTurn = false;
  #isConnectionPaused = false;

  constructor(message: IncomingMessage, receiver: BodyReceiver, { held, turns }: FlowContext) {
    this.#message = message;
    this.#receiver = receiver;
    this.#turns = turns;
    this.#arrived = new ByteCollector(held);
    message.on('data', this.#add);
    message.once('end', this.#end);
    message.once('close', this.#close);
  }

  pause(): void {
    this.#isPausedByReceiver = true;
    this.#stop();
  }

  resume(): void {
    this.#isPausedByReceiver = false;
    this.#goOn();
  }

  readonly #add = (chunk: Buffer): void => {
    // Microtasks run after the parser has gone through all that was read, and after its ticks, which would resume a pause.
    if (this.#arrivedChunks === 0) queueMicrotask(this.#deliver);
    this.#arrivedChunks += 1;
    this.#arrived.add(chunk);
  };

  readonly #deliver = (): void => {
    if (this.#arrivedChunks === 0) return;
    const hasManyChunks = this.#arrivedChunks > MANY_CHUNKS;
    const bytes = this.#arrived.join();
    this.#arrivedChunks = 0;
    this.#arrived.clear();
    if (hasManyChunks) this.#waitForTurn();
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

  #waitForTurn(): void {
    if (this.#waitsForTurn || this.#message.complete) return;
    this.#waitsForTurn = true;
    this.#stop();
    this.#turns.wait(() => {
      this.#waitsForTurn = false;
      this.#goOn();
    });
  }

  /**
   * Stops reading the connection too, whose parser would otherwise keep each chunk as an object of its own. The connection of
   * a message that has arrived completely may already carry another one.
   */
  #stop(): void {
    this.#message.pause();
    if (this.#message.complete) return;
    this.#isConnectionPaused = true;
    this.#message.socket.pause();
  }

  #goOn(): void {
    if (this.#isPausedByReceiver || this.#waitsForTurn) return;
    if (this.#isConnectionPaused) this.#message.socket.resume();
    this.#isConnectionPaused = false;
    this.#message.resume();
  }
}
