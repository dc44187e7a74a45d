/** One daemon's paths to the servers, through proxies that a test cuts while other daemons still reach the servers. */
import { once } from 'node:events';
import net, { type AddressInfo, type Server, type Socket } from 'node:net';
import type { ServerRecord } from '../../../src/core/gateway/index.js';
import type {
  PlatformAdapter,
  WatchAnswer,
  WatchedTable,
} from '../../../src/shell/gateway/ports.js';
import { resetSocket } from '../../../src/shell/http/reset-socket.js';

const HOST = '127.0.0.1';

/** What happens to a daemon's connections to servers when its path is cut. */
export type Cut = 'new connections are refused' | 'all connections are reset';

/** The path to one server. */
class ServerLink {
  readonly #target: { readonly host: string; readonly port: number };
  readonly #server: Server = net.createServer((inner) => this.#connect(inner));
  readonly #sockets = new Set<Socket>();
  #port = 0;

  constructor(address: string) {
    const [host = '', port = ''] = address.split(':');
    this.#target = { host, port: Number(port) };
  }

  get address(): string {
    return `${HOST}:${this.#port}`;
  }

  /** Accepts connections, at the same port as before. */
  async open(): Promise<void> {
    this.#server.listen(this.#port, HOST);
    await once(this.#server, 'listening');
    this.#port = (this.#server.address() as AddressInfo).port;
  }

  cut(cut: Cut): void {
    this.#server.close();
    if (cut === 'all connections are reset') this.#resetAll();
  }

  stop(): void {
    this.#server.close();
    this.#resetAll();
  }

  #resetAll(): void {
    for (const socket of this.#sockets) resetSocket(socket);
  }

  #connect(inner: Socket): void {
    const outer = net.connect(this.#target);
    for (const [socket, other] of [
      [inner, outer],
      [outer, inner],
    ] as const) {
      this.#sockets.add(socket);
      socket.on('error', () => other.destroy());
      socket.once('close', () => {
        this.#sockets.delete(socket);
        other.destroy();
      });
      socket.pipe(other);
    }
  }
}

/** The paths of one daemon. */
export class ServerLinks {
  readonly #links = new Map<string, ServerLink>();
  readonly #addressInstead: (serverId: string) => string | undefined;

  /** @param addressInstead where a server is listed instead of at its link; undefined for its link */
  constructor(addressInstead: (serverId: string) => string | undefined = () => undefined) {
    this.#addressInstead = addressInstead;
  }

  /** An adapter that lists the servers at the addresses of their links. */
  adapt(adapter: PlatformAdapter): PlatformAdapter {
    return { ...adapter, servers: this.#linked(adapter.servers) };
  }

  cut(cut: Cut): void {
    for (const link of this.#links.values()) link.cut(cut);
  }

  async restore(): Promise<void> {
    await Promise.all([...this.#links.values()].map((link) => link.open()));
  }

  stop(): void {
    for (const link of this.#links.values()) link.stop();
  }

  #linked(table: WatchedTable<ServerRecord>): WatchedTable<ServerRecord> {
    return {
      ...table,
      readAll: async (signal, recordPage) =>
        this.#linkRows(await table.readAll(signal, recordPage)),
      changesAfter: async (revision, waitMs, signal) =>
        this.#linkRows(await table.changesAfter(revision, waitMs, signal)),
    };
  }

  async #linkRows(answer: WatchAnswer<ServerRecord>): Promise<WatchAnswer<ServerRecord>> {
    if (answer.kind !== 'rows') return answer;
    const rows = await Promise.all(
      answer.rows.map(async (row) => {
        if (row.kind !== 'value') return row;
        const address =
          this.#addressInstead(row.key) ?? (await this.#linkTo(row.value.address)).address;
        return { ...row, value: { ...row.value, address } };
      }),
    );
    return { ...answer, rows };
  }

  async #linkTo(address: string): Promise<ServerLink> {
    const known = this.#links.get(address);
    if (known !== undefined) return known;
    const link = new ServerLink(address);
    this.#links.set(address, link);
    await link.open();
    return link;
  }
}
