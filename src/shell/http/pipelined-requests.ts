/**
 * Bounds the requests that one connection has under way: it is not read while many of its answers are open. node:http would
 * parse each read of 64 KB as a whole, two thousand short requests, before anything can stop it, so it is handed small pieces.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Some hundred short requests. */
const HEAD_PIECE_BYTES = 4_096;
const BODY_PIECE_BYTES = 65_536;
/** Requests after an answer that closes the connection; with more of them it is closed before that answer. */
const MAX_IGNORED = 16;
/** With one, the body of the request that is open would not be read. */
const MIN_LIMIT = 2;

/** The listener of node:http for a connection's bytes. */
type ParseBytes = (chunk: Buffer) => void;

interface ConnectionRequests {
  open: number;
  ignored: number;
  isHeld: boolean;
  latest: IncomingMessage | undefined;
}

/** The open requests of each connection. */
export class PipelinedRequests {
  readonly #limit: number;
  readonly #connections = new WeakMap<Socket, ConnectionRequests>();

  /** @param limit open requests of one connection, from which on it is not read until half of them have ended */
  constructor(limit: number) {
    this.#limit = Math.max(limit, MIN_LIMIT);
  }

  /** Takes over the bytes of a connection that node:http has just begun to listen to. */
  watch(socket: Socket): void {
    const [parse] = socket.listeners('data') as ParseBytes[];
    if (parse === undefined) return;
    socket.removeListener('data', parse);
    const requests = this.#requestsOf(socket);
    socket.on('data', (chunk: Buffer) => feed(socket, requests, chunk, parse));
  }

  /** Counts a request until its answer is closed. */
  add(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    const requests = this.#requestsOf(socket);
    requests.open += 1;
    requests.latest = request;
    if (requests.open >= this.#limit) requests.isHeld = true;
    response.once('close', () => this.#onClosed(socket, requests));
  }

  /** Whether a connection has an open request besides the last one. */
  hasSeveral(socket: Socket): boolean {
    return this.#requestsOf(socket).open > 1;
  }

  /** Counts a request that is not run, as the caller was told that the connection closes; closes it if there are many. */
  ignore(socket: Socket): void {
    const requests = this.#requestsOf(socket);
    requests.ignored += 1;
    if (requests.ignored > MAX_IGNORED) socket.destroy();
  }

  #requestsOf(socket: Socket): ConnectionRequests {
    const known = this.#connections.get(socket);
    if (known !== undefined) return known;
    const requests: ConnectionRequests = {
      open: 0,
      ignored: 0,
      isHeld: false,
      latest: undefined,
    };
    this.#connections.set(socket, requests);
    return requests;
  }

  #onClosed(socket: Socket, requests: ConnectionRequests): void {
    requests.open -= 1;
    if (!requests.isHeld || requests.open > this.#limit / 2) return;
    requests.isHeld = false;
    socket.resume();
  }
}

/** Parses a chunk piece by piece; what follows a piece at which the connection is paused is read again once it is resumed. */
function feed(
  socket: Socket,
  requests: ConnectionRequests,
  chunk: Buffer,
  parse: ParseBytes,
): void {
  let start = 0;
  while (start < chunk.length && !socket.destroyed) {
    if (requests.isHeld || socket.isPaused()) {
      // node:http resumes a connection after each request.
      socket.pause();
      socket.unshift(chunk.subarray(start));
      return;
    }
    const isReadingBody = requests.latest?.complete === false;
    const piece = chunk.subarray(
      start,
      start + (isReadingBody ? BODY_PIECE_BYTES : HEAD_PIECE_BYTES),
    );
    start += piece.length;
    parse(piece);
  }
}
