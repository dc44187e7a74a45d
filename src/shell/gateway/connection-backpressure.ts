/** Stops reading from connections whose callers send further requests without waiting for their answers. */
import type { Socket } from 'node:net';
import { isPausedByNode } from './parser-feed.js';

/** A connection that owes this many answers is not read until some of them have been taken. */
const MAX_PENDING_ANSWERS = 8;
const RESUMED_AT_PENDING_ANSWERS = 4;

/** The connections of one listener. */
export class ConnectionBackpressure {
  readonly #held = new WeakSet<Socket>();
  readonly #stopped = new WeakSet<Socket>();
  readonly #watched = new WeakSet<Socket>();

  /** Applies the number of answers that a connection owes. */
  update(socket: Socket, pendingAnswers: number): void {
    if (this.#stopped.has(socket)) return;
    if (this.#held.has(socket)) {
      if (pendingAnswers <= RESUMED_AT_PENDING_ANSWERS) this.#release(socket);
    } else if (pendingAnswers >= MAX_PENDING_ANSWERS) {
      this.#hold(socket);
    }
  }

  /** Whether a connection is not read at present. */
  isHeld(socket: Socket): boolean {
    return this.#held.has(socket);
  }

  /** Reads nothing more of a connection whose last answer is under way. */
  stop(socket: Socket): void {
    if (this.#stopped.has(socket)) return;
    this.#stopped.add(socket);
    this.#hold(socket);
  }

  #hold(socket: Socket): void {
    this.#held.add(socket);
    this.#watch(socket);
    socket.pause();
  }

  #release(socket: Socket): void {
    this.#held.delete(socket);
    if (!socket.destroyed && !isPausedByNode(socket)) socket.resume();
  }

  /** node:http resumes a connection after each request, and whenever a body is read. */
  #watch(socket: Socket): void {
    if (this.#watched.has(socket)) return;
    this.#watched.add(socket);
    socket.on('resume', () => {
      if (this.#held.has(socket)) socket.pause();
    });
  }
}
