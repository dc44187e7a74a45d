/**
 * Accounts for the heads of requests, and trailers, that are not complete: node:http's parser holds them unseen. Where they take
 * too much, the connection whose head began first is evicted.
 */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { MemoryLedger } from '../../core/gateway/index.js';
import { headBytesOf } from './request-head.js';

/** Heap of short headers for each of their bytes: two strings and places in arrays for a line of eight bytes. */
const HEAP_BYTES_PER_BYTE = 16;
/** Spaces and the request line count on the wire, and not against the configured limit of headers. */
const WIRE_BYTES_PER_HEADER_BYTE = 2;
const REQUEST_LINE_BYTES = 16_384;
/** Heads may be spelled longer than they are counted, with more spaces. */
const MAX_SPELLING_BYTES = 512;
const BLANK_LINE = '\r\n\r\n';
/** The ends of the two lines of a chunk. */
const CHUNK_LINE_ENDS_BYTES = 4;
const BITS = 32;
const BITS_PER_HEX_DIGIT = 4;

/** Why a connection is closed. */
export type HeadRefusal = 'head-evicted' | 'head-too-large';

/** Dependencies of a `HeadMonitor`. */
export interface HeadMonitorOptions {
  readonly memory: Pick<MemoryLedger, 'growHeads' | 'shrinkHeads'>;
  /** The configured limit of a request's headers. */
  readonly maxHeaderBytes: () => number;
  /** Refuses what is arriving, and closes the connection. */
  readonly refuse: (socket: Socket, reason: HeadRefusal, heldBytes: number) => void;
}

interface Connection {
  /** Bytes that arrived and that no head, body or framing explains; negative while a body of a declared length arrives. */
  balanceBytes: number;
  /** The last request whose head was complete, until its body is. */
  request: IncomingMessage | undefined;
  /** Whether its body comes in chunks. */
  isChunked: boolean;
  reservedBytes: number;
}

/** The connections of one listener. */
export class HeadMonitor {
  readonly #options: HeadMonitorOptions;
  readonly #connections = new WeakMap<Socket, Connection>();
  /** Connections with a head that is not complete, in the order in which these began. */
  readonly #unfinished = new Map<Socket, Connection>();

  constructor(options: HeadMonitorOptions) {
    this.#options = options;
  }

  /** Begins to watch a connection. */
  watch(socket: Socket): void {
    const connection: Connection = {
      balanceBytes: 0,
      request: undefined,
      isChunked: false,
      reservedBytes: 0,
    };
    this.#connections.set(socket, connection);
    socket.once('close', () => this.#release(socket, connection));
  }

  /** Records that a head is complete. */
  recordRequest(request: IncomingMessage): void {
    const connection = this.#connections.get(request.socket);
    if (connection === undefined) return;
    const declaredBytes = Number(request.headers['content-length'] ?? 0);
    connection.balanceBytes -= headBytesOf(request) + declaredBytes;
    connection.request = request;
    connection.isChunked = request.headers['transfer-encoding'] !== undefined;
  }

  /** Whether the body of a request is arriving. */
  isReadingBody(socket: Socket): boolean {
    return this.#connections.get(socket)?.request !== undefined;
  }

  /** Returns what records each piece of a request's body, by its length. */
  bodyRecorder({ socket }: IncomingMessage): (bytes: number) => void {
    const connection = this.#connections.get(socket);
    if (connection?.isChunked !== true) return () => undefined;
    return (bytes) => {
      connection.balanceBytes -= bytes + chunkFrameBytes(bytes);
    };
  }

  /** Records a piece that has been parsed. */
  recordPiece(socket: Socket, piece: Buffer): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined) return;
    connection.balanceBytes += piece.length;
    const { request, isChunked } = connection;
    if (request === undefined) {
      this.#account(socket, connection);
      return;
    }
    const isComplete = request.complete;
    if (isComplete) connection.request = undefined;
    if (isComplete && endsWithBlankLine(piece)) connection.balanceBytes = 0;
    const account = () => this.#accountAfterRequest(socket, connection, isComplete);
    // The first bytes of a body are handed on after the piece in which they came.
    if (isChunked) process.nextTick(account);
    else if (isComplete) account();
  }

  #accountAfterRequest(socket: Socket, connection: Connection, isComplete: boolean): void {
    const isSpelling = isComplete && connection.balanceBytes < MAX_SPELLING_BYTES;
    if (isSpelling) connection.balanceBytes = 0;
    this.#account(socket, connection);
  }

  #account(socket: Socket, connection: Connection): void {
    if (socket.destroyed) return;
    connection.balanceBytes = Math.max(0, connection.balanceBytes);
    const { balanceBytes } = connection;
    const neededBytes = balanceBytes * HEAP_BYTES_PER_BYTE;
    if (neededBytes === 0) {
      this.#release(socket, connection);
    } else if (balanceBytes > this.#maxHeadBytes) {
      this.#refuse(socket, connection, 'head-too-large');
    } else if (neededBytes > connection.reservedBytes) {
      this.#unfinished.set(socket, connection);
      this.#reserve(connection, neededBytes - connection.reservedBytes);
    }
  }

  #reserve(connection: Connection, bytes: number): void {
    while (!this.#options.memory.growHeads(bytes)) {
      const [first] = this.#unfinished;
      if (first === undefined) return;
      this.#refuse(...first, 'head-evicted');
      if (first[1] === connection) return;
    }
    connection.reservedBytes += bytes;
  }

  #refuse(socket: Socket, connection: Connection, reason: HeadRefusal): void {
    const heldBytes = connection.reservedBytes;
    this.#release(socket, connection);
    this.#options.refuse(socket, reason, heldBytes);
  }

  #release(socket: Socket, connection: Connection): void {
    this.#unfinished.delete(socket);
    this.#options.memory.shrinkHeads(connection.reservedBytes);
    connection.reservedBytes = 0;
  }

  get #maxHeadBytes(): number {
    return WIRE_BYTES_PER_HEADER_BYTE * this.#options.maxHeaderBytes() + REQUEST_LINE_BYTES;
  }
}

/** What frames a chunk of some length, besides its content. */
function chunkFrameBytes(bytes: number): number {
  const digits = Math.ceil((BITS - Math.clz32(bytes)) / BITS_PER_HEX_DIGIT);
  return CHUNK_LINE_ENDS_BYTES + digits;
}

function endsWithBlankLine(piece: Buffer): boolean {
  return (
    piece.length >= BLANK_LINE.length &&
    piece.toString('latin1', piece.length - BLANK_LINE.length) === BLANK_LINE
  );
}
