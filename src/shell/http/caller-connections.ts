/** Which caller connections carry a request, so that a planned stop closes only the others. */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** The open connections of the callers' server. */
export class CallerConnections {
  /** Requests in hand on each connection; pipelined ones count each. */
  readonly #requests = new Map<Socket, number>();
  readonly #whenNoneLeft: (() => void)[] = [];
  #closing = false;

  /** Notes a new connection. */
  track(socket: Socket): void {
    this.#requests.set(socket, 0);
    socket.once('close', () => this.#closed(socket));
  }

  /** Resolves once no connection is open. */
  allClosed(): Promise<void> {
    if (this.#requests.size === 0) return Promise.resolve();
    return new Promise((resolve) => this.#whenNoneLeft.push(resolve));
  }

  /** Notes a request until its response is over. */
  trackRequest(socket: Socket, response: ServerResponse): void {
    this.#requests.set(socket, (this.#requests.get(socket) ?? 0) + 1);
    response.once('close', () => this.#requestEnded(socket));
  }

  /** Closes idle connections now, and each other one when its requests are over. */
  closeWhenIdle(): void {
    this.#closing = true;
    for (const [socket, requests] of this.#requests) {
      if (requests === 0) socket.destroySoon();
    }
  }

  #closed(socket: Socket): void {
    this.#requests.delete(socket);
    if (this.#requests.size > 0) return;
    for (const resolve of this.#whenNoneLeft.splice(0)) resolve();
  }

  #requestEnded(socket: Socket): void {
    const requests = this.#requests.get(socket);
    if (requests === undefined) return;
    this.#requests.set(socket, requests - 1);
    if (this.#closing && requests === 1) socket.destroySoon();
  }
}
