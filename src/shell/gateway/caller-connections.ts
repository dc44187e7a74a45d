/**
 * Keeps descriptors free for readiness checks, the store, other daemons and servers: callers' connections and requests take
 * only what is left. Without a descriptor the system closes new connections of any kind, and no server can be reached.
 */
import type { Server } from 'node:http';
import type { Socket } from 'node:net';

/** The system keeps these for files. */
const FILE_DESCRIPTORS = 200;
/** Of the other descriptors, for everything but callers and the requests that run for them. */
const RESERVED_SHARE = 1 / 8;
/** Of the same, for connections whose requests are rejected with an answer. */
const REJECTED_SHARE = 1 / 16;
/** Of what is left, so that callers' connections leave some to requests; beyond it idle ones are closed for new ones. */
const CONNECTIONS_SHARE = 2 / 3;

/** Dependencies of the connections. */
export interface CallerConnectionsOptions {
  readonly server: Server;
  /** Whether a connection is between two requests. */
  readonly isIdle: (socket: Socket) => boolean;
  /** The most descriptors of this process; undefined where there are more than it can need. */
  readonly descriptors: number | undefined;
  /** Each of them may need a connection to a server. */
  readonly requestsInFlight: () => number;
  /** Called for each connection that was closed at once, as there were too many. */
  readonly onDropped: () => void;
}

/** The connections of callers to one listener. */
export class CallerConnections {
  readonly #options: CallerConnectionsOptions;
  readonly #maxSockets: number;
  readonly #maxRejected: number;
  readonly #maxConnections: number;
  readonly #open = new Set<Socket>();

  constructor(options: CallerConnectionsOptions) {
    this.#options = options;
    const sockets = socketsOf(options.descriptors);
    this.#maxRejected = Math.floor(sockets * REJECTED_SHARE);
    this.#maxSockets = Math.max(1, Math.floor(sockets * (1 - RESERVED_SHARE)) - this.#maxRejected);
    this.#maxConnections = Math.ceil(this.#maxSockets * CONNECTIONS_SHARE);
    options.server.on('connection', (socket: Socket) => this.#accept(socket));
  }

  /** Whether each request in flight can have a connection to a server besides those of all callers. */
  get hasRoom(): boolean {
    return this.#used <= this.#maxSockets;
  }

  /** The number of open connections. */
  get open(): number {
    return this.#open.size;
  }

  get #used(): number {
    return this.#open.size + this.#options.requestsInFlight();
  }

  #accept(socket: Socket): void {
    this.#open.add(socket);
    socket.once('close', () => this.#open.delete(socket));
    if (this.#open.size > this.#maxConnections) this.#closeIdle();
    const isTooMany = this.#open.size > this.#maxConnections;
    if (!isTooMany && this.#used <= this.#maxSockets + this.#maxRejected) return;
    this.#options.onDropped();
    socket.destroy();
  }

  /** Closes connections between two requests: their callers connect again when they have one. */
  #closeIdle(): void {
    for (const socket of this.#open) {
      if (!this.#options.isIdle(socket)) continue;
      socket.destroy();
      this.#open.delete(socket);
    }
  }
}

function socketsOf(descriptors: number | undefined): number {
  if (descriptors === undefined) return Number.MAX_SAFE_INTEGER;
  return Math.max(1, descriptors - FILE_DESCRIPTORS);
}
