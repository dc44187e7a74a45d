/** The link between all daemons and one server: a TCP proxy on loopback that delays, resets or silences. */
import { once } from 'node:events';
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';
import type { LinkFault } from './plan.js';

const DELAY_MS = 150;

interface ConnectionPair {
  readonly daemon: Socket;
  readonly server: Socket;
  isSilent: boolean;
}

interface DelayedStep {
  readonly dueMs: number;
  readonly forward: () => void;
}

/** One way of a connection: what is delayed holds back what comes after it, its end included. */
class DelayQueue {
  #queue: DelayedStep[] = [];

  forward(delayMs: number, forward: () => void): void {
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
        this.#queue.shift();
        head.forward();
        this.#waitForHead();
      },
      Math.max(0, head.dueMs - performance.now()),
    );
  }
}

/** A link; its address is the one that the server is listed under. */
export class LinkProxy {
  readonly #targetPort: () => number;
  readonly #pairs = new Set<ConnectionPair>();
  readonly #proxy: Server = createServer((socket) => this.#accept(socket));
  #fault: LinkFault | undefined;
  #port = 0;

  constructor(targetPort: () => number) {
    this.#targetPort = targetPort;
  }

  get address(): string {
    return `127.0.0.1:${this.#port}`;
  }

  /** Takes connections, after `refuse` at the same address again. */
  async open(): Promise<void> {
    this.#proxy.listen(this.#port, '127.0.0.1');
    await once(this.#proxy, 'listening');
    this.#port = (this.#proxy.address() as AddressInfo).port;
  }

  /** As a machine whose server has ended: refuses new connections. */
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
  }

  /** Connections that went silent stay so. */
  end(): void {
    this.#fault = undefined;
  }

  #resetAll(): void {
    for (const { daemon, server } of this.#pairs) {
      daemon.resetAndDestroy();
      server.resetAndDestroy();
    }
    this.#pairs.clear();
  }

  #accept(daemon: Socket): void {
    const server = connect(this.#targetPort(), '127.0.0.1');
    const pair: ConnectionPair = { daemon, server, isSilent: false };
    this.#pairs.add(pair);
    daemon.setNoDelay(true);
    server.setNoDelay(true);
    this.#relay(pair, daemon, server, 'to-server');
    this.#relay(pair, server, daemon, 'to-daemon');
  }

  #relay(
    pair: ConnectionPair,
    from: Socket,
    to: Socket,
    direction: 'to-server' | 'to-daemon',
  ): void {
    const queue = new DelayQueue();
    from.on('data', (bytes) => {
      if (this.#fault === 'one-way' && direction === 'to-daemon') pair.isSilent = true;
      if (pair.isSilent) return;
      queue.forward(this.#delayMs, () => write(to, bytes));
    });
    from.on('error', () => to.destroy());
    from.on('close', () => {
      this.#pairs.delete(pair);
      // A silent connection tells neither side that the other is gone.
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
