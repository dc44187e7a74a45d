/** The link between all daemons and one server: a TCP proxy on loopback that delays, resets or silences. */
import { once } from 'node:events';
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';
import type { LinkFault } from './plan.js';

const DELAY_MS = 150;

interface Pair {
  readonly daemon: Socket;
  readonly server: Socket;
  isSilent: boolean;
}

interface Delayed {
  readonly dueMs: number;
  readonly pass: () => void;
}

/** One way of a connection: what is delayed holds back what comes after it, its end included. */
class Lane {
  #queue: Delayed[] = [];

  pass(delayMs: number, pass: () => void): void {
    if (delayMs === 0 && this.#queue.length === 0) {
      pass();
      return;
    }
    this.#queue.push({ dueMs: performance.now() + delayMs, pass });
    if (this.#queue.length === 1) this.#waitForHead();
  }

  #waitForHead(): void {
    const [head] = this.#queue;
    if (head === undefined) return;
    setTimeout(
      () => {
        this.#queue.shift();
        head.pass();
        this.#waitForHead();
      },
      Math.max(0, head.dueMs - performance.now()),
    );
  }
}

/** A link; its address is the one that the server is listed under. */
export class LinkProxy {
  readonly #targetPort: () => number;
  readonly #pairs = new Set<Pair>();
  readonly #proxy: Server = createServer((socket) => this.#join(socket));
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

  #join(daemon: Socket): void {
    const server = connect(this.#targetPort(), '127.0.0.1');
    const pair: Pair = { daemon, server, isSilent: false };
    this.#pairs.add(pair);
    daemon.setNoDelay(true);
    server.setNoDelay(true);
    this.#passOn(pair, daemon, server, 'to-server');
    this.#passOn(pair, server, daemon, 'to-daemon');
  }

  #passOn(pair: Pair, from: Socket, to: Socket, way: 'to-server' | 'to-daemon'): void {
    const lane = new Lane();
    from.on('data', (bytes) => {
      if (this.#fault === 'one-way' && way === 'to-daemon') pair.isSilent = true;
      if (pair.isSilent) return;
      lane.pass(this.#delayMs, () => write(to, bytes));
    });
    from.on('error', () => to.destroy());
    from.on('close', () => {
      this.#pairs.delete(pair);
      // A silent connection tells neither side that the other is gone.
      if (!pair.isSilent) lane.pass(this.#delayMs, () => to.destroySoon());
    });
  }

  get #delayMs(): number {
    return this.#fault === 'delay' ? DELAY_MS : 0;
  }
}

function write(socket: Socket, bytes: Buffer): void {
  if (!socket.destroyed) socket.write(bytes);
}
