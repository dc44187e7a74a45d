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

/** A link; its address is the one that the server is listed under. */
export class LinkProxy {
  readonly #targetPort: () => number;
  readonly #pairs = new Set<Pair>();
  readonly #proxy: Server = createServer((socket) => this.#join(socket));
  #fault: LinkFault | undefined;
  #address = '';

  constructor(targetPort: () => number) {
    this.#targetPort = targetPort;
  }

  get address(): string {
    return this.#address;
  }

  async open(): Promise<void> {
    this.#proxy.listen(0, '127.0.0.1');
    await once(this.#proxy, 'listening');
    this.#address = `127.0.0.1:${(this.#proxy.address() as AddressInfo).port}`;
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
    daemon.on('data', (bytes) => this.#pass(pair, bytes, server, 'to-server'));
    server.on('data', (bytes) => this.#pass(pair, bytes, daemon, 'to-daemon'));
    const part = (from: Socket, to: Socket) => {
      from.on('error', () => to.destroy());
      from.on('close', () => {
        this.#pairs.delete(pair);
        // A silent connection tells neither side that the other is gone.
        if (!pair.isSilent) to.destroySoon();
      });
    };
    part(daemon, server);
    part(server, daemon);
  }

  #pass(pair: Pair, bytes: Buffer, to: Socket, way: 'to-server' | 'to-daemon'): void {
    if (pair.isSilent) return;
    if (this.#fault === 'one-way' && way === 'to-daemon') {
      pair.isSilent = true;
      return;
    }
    if (this.#fault === 'delay') setTimeout(() => write(to, bytes), DELAY_MS);
    else write(to, bytes);
  }
}

function write(socket: Socket, bytes: Buffer): void {
  if (!socket.destroyed) socket.write(bytes);
}
