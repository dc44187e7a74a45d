/**
 * The answers that connections still owe, in the order of their requests. A caller may send further requests before the
 * answer to the first one (RFC 9112 section 9.3.2), so closing a connection after an answer may take others along.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** What one connection owes. */
interface ConnectionAnswers {
  readonly pending: Set<ServerResponse>;
  /** The answer to the last request that arrived. */
  latest: ServerResponse | undefined;
  /** Requests that are not run, as an answer before them has told that the connection closes. */
  ignored: number;
  /** Bytes that had been read as the last answer was closed; undefined before the first one. */
  readBytes: number | undefined;
}

/** The pending answers of one server. */
export class PendingAnswers {
  readonly #connections = new Map<Socket, ConnectionAnswers>();
  readonly #onChange: (socket: Socket, pending: number) => void;
  #isClosing = false;

  /** @param onChange called with the number of answers that a connection owes, whenever it changes */
  constructor(onChange: (socket: Socket, pending: number) => void = () => undefined) {
    this.#onChange = onChange;
  }

  /**
   * Adds the answer to a request that has arrived, until it is closed.
   * @returns false if an answer before it has told the caller that the connection closes: the request must not be run
   */
  add(socket: Socket, response: ServerResponse): boolean {
    const connection = this.#connectionOf(socket);
    const { pending } = connection;
    const before = latestOf(connection);
    if (before !== undefined && isLast(before)) {
      connection.ignored += 1;
      return false;
    }
    pending.add(response);
    connection.latest = response;
    response.once('close', () => {
      pending.delete(response);
      connection.readBytes = socket.bytesRead;
      this.#onChange(socket, pending.size);
    });
    this.#onChange(socket, pending.size);
    if (this.#isClosing) {
      if (before !== undefined) before.shouldKeepAlive = true;
      response.shouldKeepAlive = false;
    }
    return true;
  }

  /** From now on the last answer that each connection owes says that the connection closes. */
  announceClose(): void {
    this.#isClosing = true;
    for (const connection of this.#connections.values()) {
      const last = latestOf(connection);
      if (last?.headersSent === false) last.shouldKeepAlive = false;
    }
  }

  /**
   * Whether a connection is between two requests. To node:http's own closeIdleConnections() an answer has ended once it is
   * written, while most of it may still be in the process.
   */
  isIdle(socket: Socket): boolean {
    const connection = this.#connections.get(socket);
    return connection?.pending.size === 0 && connection.readBytes === socket.bytesRead;
  }

  /** The number of answers that a connection owes. */
  countOf(socket: Socket): number {
    return this.#connections.get(socket)?.pending.size ?? 0;
  }

  /** Whether a connection owes one answer, whose request has not arrived whole and got no part of its answer. */
  onlyIncomplete(socket: Socket): boolean {
    const pending = this.#connections.get(socket)?.pending;
    if (pending?.size !== 1) return false;
    return [...pending].every((response) => !response.headersSent && !response.req.complete);
  }

  /** The number of requests for which `add` returned false. */
  ignoredOf(socket: Socket): number {
    return this.#connections.get(socket)?.ignored ?? 0;
  }

  #connectionOf(socket: Socket): ConnectionAnswers {
    const known = this.#connections.get(socket);
    if (known !== undefined) return known;
    const connection: ConnectionAnswers = {
      pending: new Set(),
      latest: undefined,
      ignored: 0,
      readBytes: undefined,
    };
    this.#connections.set(socket, connection);
    socket.once('close', () => {
      this.#connections.delete(socket);
      // node:http closes the answer whose turn it is in the same event, and emits nothing for those behind it.
      process.nextTick(closeAll, connection.pending);
    });
    return connection;
  }
}

/** The last answer that a connection owes. */
function latestOf({ pending, latest }: ConnectionAnswers): ServerResponse | undefined {
  return latest !== undefined && pending.has(latest) ? latest : [...pending].at(-1);
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
