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
/** Of what is left, so that callers' idle connections leave some to requests. */
const CONNECTIONS_SHARE = 2 / 3;

/** Dependencies of the connections. */
export interface CallerConnectionsOptions {
  readonly server: Server;
  /** The most descriptors of this process; undefined where there are more than it can need. */
  readonly descriptors: number | undefined;
  /** Called for each connection that was closed at once, as there were too many. */
  readonly onDropped: () => void;
}

/** The connections of callers to one listener. */
export class CallerConnections {
  readonly #maxSockets: number;
  #open = 0;

  constructor({ server, descriptors, onDropped }: CallerConnectionsOptions) {
    this.#maxSockets = maxCallerSockets(descriptors);
    if (descriptors !== undefined) {
      server.maxConnections = Math.ceil(this.#maxSockets * CONNECTIONS_SHARE);
    }
    server.on('connection', (socket: Socket) => {
      this.#open += 1;
      socket.once('close', () => {
        this.#open -= 1;
      });
    });
    server.on('drop', onDropped);
  }

  /** Connections that are open. */
  get open(): number {
    return this.#open;
  }

  /** Whether each of the requests in flight can have a connection to a server besides its caller's. */
  hasRoomFor(requestsInFlight: number): boolean {
    return this.#open + requestsInFlight <= this.#maxSockets;
  }
}

function maxCallerSockets(descriptors: number | undefined): number {
  if (descriptors === undefined) return Number.POSITIVE_INFINITY;
  const sockets = Math.max(1, descriptors - FILE_DESCRIPTORS);
  return Math.max(1, Math.floor(sockets * (1 - RESERVED_SHARE)));
}
