/**
 * The link between all daemons and one server: a TCP proxy on loopback that can delay, hold, reset or silence connections.
 */
import { once } from 'node:events';
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';
import { resetSocket } from '../src/shell/http/reset-socket.js';
import type { AcceptMonitor } from './accept-monitor.js';
import type { LinkFault } from './plan.js';

const DELAY_MS = 150;

interface ConnectionPair {
  readonly daemon: Socket;
  readonly server: Socket;
  readonly queues: readonly DelayQueue[];
  isSilent: boolean;
}

interface DelayedStep {
  readonly dueMs: number;
  readonly forward: () => void;
}

/**
 * One direction of a connection. Delayed bytes hold back all later bytes and the end of the connection, so that the
 * order is kept.
 */
class DelayQueue {
  #queue: DelayedStep[] = [];
  #isHeld = false;

  /** Forwards nothing until `release`. */
  hold(): void {
    this.#isHeld = true;
  }

  release(): void {
    if (!this.#isHeld) return;
    this.#isHeld = false;
    if (this.#queue.length > 0) this.#waitForHead();
  }

  /** Drops what was not forwarded: the connection was reset. */
  drop(): void {
    this.#queue = [];
  }

  forward(delayMs: number, forward: () => void): void {
    if (this.#isHeld) {
      this.#queue.push({ dueMs: performance.now(), forward });
      return;
    }
    if (delayMs === 0 && this.#queue.length === 0) {
      forward();
      return;
    }
    this.#queue.push({ dueMs: performance.now() + delayMs, forward });
    if (this.#queue.length === 1) this.#waitForHead();
  }

  #waitForHead(): void {
    const [head] = this.#queue;
    if (head === undefined) return;
    setTimeout(
      () => {
        if (this.#isHeld || this.#queue[0] !== head) return;
        this.#queue.shift();
        head.forward();
        this.#waitForHead();
      },
      Math.max(0, head.dueMs - performance.now()),
    );
  }
}

/** A link. The server's entry in the store has the address of its link. */
export class LinkProxy {
  readonly #targetPort: () => number;
  readonly #accepts: AcceptMonitor | undefined;
  readonly #pairs = new Set<ConnectionPair>();
  readonly #proxy: Server = createServer((socket) => this.#accept(socket));
  #fault: LinkFault | undefined;
  #port = 0;

  /** @param accepts measures how long connections wait to be accepted */
  constructor(targetPort: () => number, accepts?: AcceptMonitor) {
    this.#targetPort = targetPort;
    this.#accepts = accepts;
    accepts?.watch(this.#proxy);
  }

  get address(): string {
    return `127.0.0.1:${this.#port}`;
  }

  /** Starts to accept connections; after `refuse`, at the same address as before. */
  async open(): Promise<void> {
    this.#proxy.listen(this.#port, '127.0.0.1');
    await once(this.#proxy, 'listening');
    this.#port = (this.#proxy.address() as AddressInfo).port;
  }

  /** Refuses new connections, as a machine does whose server has stopped. */
  refuse(): void {
    this.#proxy.close();
  }

  close(): void {
    this.#proxy.close();
    this.#resetAll();
  }

  begin(fault: LinkFault): void {
    this.#fault = fault;
    if (fault === 'reset') this.#resetAll();
    if (fault === 'silent') for (const pair of this.#pairs) pair.isSilent = true;
    if (fault === 'hold')
      for (const { queues } of this.#pairs) for (const queue of queues) queue.hold();
  }

  /** Ends the fault; connections that went silent stay silent, and what was held is delivered in order. */
  end(): void {
    this.#fault = undefined;
    for (const { queues } of this.#pairs) for (const queue of queues) queue.release();
  }

  #resetAll(): void {
    for (const { daemon, server } of this.#pairs) {
      resetSocket(daemon);
      resetSocket(server);
    }
    this.#pairs.clear();
  }

  #accept(daemon: Socket): void {
    const server = connect(this.#targetPort(), '127.0.0.1');
    const queues = [new DelayQueue(), new DelayQueue()] as const;
    if (this.#fault === 'hold') for (const queue of queues) queue.hold();
    const pair: ConnectionPair = { daemon, server, queues, isSilent: false };
    this.#pairs.add(pair);
    server.once('connect', () => this.#accepts?.recordRelay(daemon, server));
    daemon.setNoDelay(true);
    server.setNoDelay(true);
    this.#relay(pair, daemon, server, 'to-server', queues[0]);
    this.#relay(pair, server, daemon, 'to-daemon', queues[1]);
  }

  #relay(
    pair: ConnectionPair,
    from: Socket,
    to: Socket,
    direction: 'to-server' | 'to-daemon',
    queue: DelayQueue,
  ): void {
    from.on('data', (bytes) => {
      if (this.#fault === 'one-way' && direction === 'to-daemon') pair.isSilent = true;
      if (pair.isSilent) return;
      queue.forward(this.#delayMs, () => write(to, bytes));
    });
    from.on('error', () => {
      queue.drop();
      to.destroy();
    });
    from.on('close', () => {
      // `close` has to find the other side, which stays open on a silent connection.
      if (to.destroyed) this.#pairs.delete(pair);
      // On a silent connection neither side learns that the other has closed.
      if (!pair.isSilent) queue.forward(this.#delayMs, () => to.destroySoon());
    });
  }

  get #delayMs(): number {
    return this.#fault === 'delay' ? DELAY_MS : 0;
  }
}

function write(socket: Socket, bytes: Buffer): void {
  if (!socket.destroyed) socket.write(bytes);
}
