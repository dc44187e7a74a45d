/**
 * Measures how long connections waited at the listeners of this process until they were accepted. Node accepts one
 * connection per listener and turn of its event loop: on a busy machine a connection may wait for seconds, although no
 * timer is late by more than a turn. A request on such a connection was sent in time and is recorded late.
 */
import { closeSync, openSync, readSync } from 'node:fs';
import type { Server, Socket } from 'node:net';

const POLL_INTERVAL_MS = 20;
/** Enough for the listening sockets of the largest runs. */
const MAX_TABLE_BYTES = 262_144;
const TCP_TABLE = '/proc/net/tcp';
const LISTENING_STATE = ' 0A ';
/** A listening socket at 127.0.0.1; its receive queue is the number of connections that wait to be accepted. */
const LISTENING =
  /^ *\d+: 0100007F:([0-9A-F]{4}) [0-9A-F]{8}:[0-9A-F]{4} 0A [0-9A-F]{8}:([0-9A-F]{8}) /gm;

/** The connections of one listener since it was opened. */
interface ListenerQueue {
  accepted: number;
  /** At `atMs` all connections up to the `upTo`th had come, and the last of them still waited. */
  readonly seenWaiting: { readonly atMs: number; readonly upTo: number }[];
}

/** The number of waiting connections by port, from the text of the kernel's table of TCP sockets. */
export function waitingByPort(table: string): ReadonlyMap<number, number> {
  const waiting = new Map<number, number>();
  for (const [, port = '', queue = ''] of table.matchAll(LISTENING)) {
    waiting.set(Number.parseInt(port, 16), Number.parseInt(queue, 16));
  }
  return waiting;
}

/** Measures the waits at all watched listeners. A wait is counted from when it is first seen, so at most as long as it was. */
export class AcceptMonitor {
  /** The longest wait so far. */
  worstMs = 0;
  readonly #queues = new Map<number, ListenerQueue>();
  readonly #waitMs = new WeakMap<Socket, number>();
  /** Waits of connections that were relayed, by the local port of the connection that continues them. */
  readonly #relayedWaitMs = new Map<number, number>();
  readonly #buffer = Buffer.alloc(MAX_TABLE_BYTES);
  readonly #readTable: () => string;
  readonly #now: () => number;
  #timer: NodeJS.Timeout | undefined;

  /**
   * @param readTable reads the kernel's table of TCP sockets, listening ones first
   * @param now a monotonic clock, in milliseconds
   */
  constructor(readTable?: () => string, now: () => number = () => performance.now()) {
    this.#readTable = readTable ?? (() => this.#readKernelTable());
    this.#now = now;
  }

  start(): void {
    this.#timer = setInterval(() => this.poll(), POLL_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Watches a listener at 127.0.0.1 whenever it is open. */
  watch(listener: Server): void {
    let port = 0;
    let queue: ListenerQueue = { accepted: 0, seenWaiting: [] };
    listener.on('listening', () => {
      port = portOf(listener);
      queue = { accepted: 0, seenWaiting: [] };
      this.#queues.set(port, queue);
    });
    listener.on('connection', (socket: Socket) => this.#recordAccepted(queue, socket));
    // A later listener at this port has another queue.
    listener.on('close', () => {
      if (this.#queues.get(port) === queue) this.#queues.delete(port);
    });
  }

  /** Records that what arrives on one accepted connection is sent on over another connection, which has just been opened. */
  recordRelay(accepted: Socket, opened: Socket): void {
    const { remotePort = 0 } = accepted;
    const waitMs = (this.#waitMs.get(accepted) ?? 0) + (this.#relayedWaitMs.get(remotePort) ?? 0);
    this.#relayedWaitMs.delete(remotePort);
    if (waitMs > 0 && opened.localPort !== undefined) {
      this.#relayedWaitMs.set(opened.localPort, waitMs);
    }
  }

  /**
   * How long the first request on an accepted connection was held up, because the connection or the one that it continues
   * waited to be accepted; 0 for later requests.
   */
  takeWaitMs(socket: Socket): number {
    const { remotePort = 0 } = socket;
    const waitMs = (this.#waitMs.get(socket) ?? 0) + (this.#relayedWaitMs.get(remotePort) ?? 0);
    this.#waitMs.delete(socket);
    this.#relayedWaitMs.delete(remotePort);
    return waitMs;
  }

  /** Looks which connections wait now. */
  poll(): void {
    const atMs = this.#now();
    for (const [port, count] of waitingByPort(this.#readTable())) {
      const queue = this.#queues.get(port);
      if (queue === undefined || count === 0) continue;
      const upTo = queue.accepted + count;
      const isNew = upTo > (queue.seenWaiting.at(-1)?.upTo ?? 0);
      if (isNew) queue.seenWaiting.push({ atMs, upTo });
    }
  }

  #recordAccepted(queue: ListenerQueue, socket: Socket): void {
    const { seenWaiting } = queue;
    queue.accepted += 1;
    const [seen] = seenWaiting;
    if (seen === undefined) return;
    const waitMs = this.#now() - seen.atMs;
    this.#waitMs.set(socket, waitMs);
    this.worstMs = Math.max(this.worstMs, waitMs);
    if (seen.upTo <= queue.accepted) seenWaiting.shift();
  }

  #readKernelTable(): string {
    const file = openSync(TCP_TABLE, 'r');
    try {
      let length = 0;
      for (;;) {
        // The kernel returns about a page at a time.
        const read = readSync(file, this.#buffer, length, this.#buffer.length - length, null);
        const page = this.#buffer.subarray(length, length + read);
        length += read;
        if (!page.includes(LISTENING_STATE)) return this.#buffer.toString('latin1', 0, length);
      }
    } finally {
      closeSync(file);
    }
  }
}

function portOf(listener: Server): number {
  const address = listener.address();
  return typeof address === 'object' ? (address?.port ?? 0) : 0;
}
