/** Tracks which caller connections carry requests, so that a planned stop closes only idle ones. */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { breakOffResponse } from './break-off-response.js';

/** The open connections of the callers' server. */
export class CallerConnections {
  /** Running requests of each connection; each pipelined request counts. */
  readonly #requestCounts = new Map<Socket, number>();
  readonly #allClosedCallbacks: (() => void)[] = [];
  /** Answers that are not complete. */
  readonly #responses = new Set<ServerResponse>();
  #closing = false;

  /** Tracks a new connection until it closes. */
  track(socket: Socket): void {
    this.#requestCounts.set(socket, 0);
    socket.once('close', () => this.#onClosed(socket));
  }

  /** Resolves when no connection is open. */
  allClosed(): Promise<void> {
    if (this.#requestCounts.size === 0) return Promise.resolve();
    return new Promise((resolve) => this.#allClosedCallbacks.push(resolve));
  }

  /** Counts a request of a connection until its response is closed. */
  trackRequest(socket: Socket, response: ServerResponse): void {
    this.#requestCounts.set(socket, (this.#requestCounts.get(socket) ?? 0) + 1);
    this.#responses.add(response);
    response.once('close', () => {
      this.#responses.delete(response);
      this.#onRequestEnded(socket);
    });
  }

  /** Closes idle connections now and each other connection when its last request ends. */
  closeWhenIdle(): void {
    this.#closing = true;
    for (const [socket, requests] of this.#requestCounts) {
      if (requests === 0) socket.destroySoon();
    }
  }

  /** Ends all answers that are not complete, so that none looks complete. */
  breakOff(): void {
    for (const response of [...this.#responses]) breakOffResponse(response);
  }

  #onClosed(socket: Socket): void {
    this.#requestCounts.delete(socket);
    if (this.#requestCounts.size > 0) return;
    for (const resolve of this.#allClosedCallbacks.splice(0)) resolve();
  }

  #onRequestEnded(socket: Socket): void {
    const requests = this.#requestCounts.get(socket);
    if (requests === undefined) return;
    this.#requestCounts.set(socket, requests - 1);
    if (this.#closing && requests === 1) socket.destroySoon();
  }
}
