/**
 * The answers that connections still owe, in the order of their requests. A caller may send further requests before the
 * answer to the first one (RFC 9112 section 9.3.2), so closing a connection after an answer may take others along.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** The pending answers of one server. */
export class PendingAnswers {
  readonly #pending = new Map<Socket, Set<ServerResponse>>();
  #isClosing = false;

  /**
   * Adds the answer to a request that has arrived, until it is closed.
   * @returns false if an answer before it has told the caller that the connection closes: the request must not be run
   */
  add(socket: Socket, response: ServerResponse): boolean {
    const pending = this.#pendingOf(socket);
    const before = [...pending].at(-1);
    if (before !== undefined && isLast(before)) return false;
    pending.add(response);
    response.once('close', () => pending.delete(response));
    if (this.#isClosing) {
      if (before !== undefined) before.shouldKeepAlive = true;
      response.shouldKeepAlive = false;
    }
    return true;
  }

  /** From now on the last answer that each connection owes says that the connection closes. */
  announceClose(): void {
    this.#isClosing = true;
    for (const pending of this.#pending.values()) {
      const last = [...pending].at(-1);
      if (last?.headersSent === false) last.shouldKeepAlive = false;
    }
  }

  #pendingOf(socket: Socket): Set<ServerResponse> {
    const known = this.#pending.get(socket);
    if (known !== undefined) return known;
    const pending = new Set<ServerResponse>();
    this.#pending.set(socket, pending);
    socket.once('close', () => {
      this.#pending.delete(socket);
      // node:http closes the answer whose turn it is in the same event, and emits nothing for those behind it.
      process.nextTick(closeAll, pending);
    });
    return pending;
  }
}

/** Whether the caller has been told that nothing follows an answer on its connection. */
function isLast(response: ServerResponse): boolean {
  return response.headersSent && !response.shouldKeepAlive;
}

function closeAll(pending: ReadonlySet<ServerResponse>): void {
  for (const response of [...pending]) {
    response.destroy();
    response.emit('close');
  }
}
