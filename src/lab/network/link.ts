/**
 * A TCP relay that emulates one network link in fault tests: it connects each client to the target,
 * under conditions (cut, delay, loss) that the test can change at any time.
 */
import {
  type AddressInfo,
  createConnection,
  createServer,
  type Server,
  type Socket,
} from 'node:net';
import type { Milliseconds } from '../../core/common/time.js';
import type { Endpoint } from '../../core/registry/backend.js';
import { resetSocket } from '../../shell/http/reset-socket.js';
import { Random } from '../workload/index.js';
import { type DirectionConditions, Pipe } from './pipe.js';

/** A direction as seen from the connecting client, or both. */
export type Direction = 'to-target' | 'from-target' | 'both';

const NEVER = (): boolean => false;

interface Connection {
  readonly client: Socket;
  readonly target: Socket;
  readonly pipes: readonly Pipe[];
}

/** One link. */
export class Link {
  private readonly server: Server;
  private readonly connections = new Set<Connection>();
  private readonly conditions = { 'to-target': perfect(), 'from-target': perfect() };

  private constructor(private readonly to: Endpoint) {
    this.server = createServer({ allowHalfOpen: true }, (client) => this.connect(client));
  }

  /** Opens a link to a target on a free port of the loopback address. */
  static async open(to: Endpoint): Promise<Link> {
    const link = new Link(to);
    await new Promise<void>((resolve, reject) => {
      link.server.once('error', reject);
      link.server.listen(0, '127.0.0.1', resolve);
    });
    return link;
  }

  /** Where to connect instead of the target. */
  get endpoint(): Endpoint {
    const { address, port } = this.server.address() as AddressInfo;
    return { address, port };
  }

  /** Connections that are open now. */
  get openConnections(): number {
    return this.connections.size;
  }

  /**
   * Holds all bytes in a direction until `heal`. New connections are still accepted, because a
   * relay cannot drop connection attempts as a cut network does, but their bytes are held too.
   */
  cut(direction: Direction): void {
    this.change(direction, (conditions) => {
      conditions.isCut = true;
    });
  }

  /** Forwards bytes again; held bytes are delivered in order. */
  heal(direction: Direction = 'both'): void {
    this.change(direction, (conditions) => {
      conditions.isCut = false;
    });
  }

  /** Delays bytes received from now on. */
  delay(direction: Direction, delayMs: Milliseconds): void {
    this.change(direction, (conditions) => {
      conditions.delayMs = delayMs;
    });
  }

  /** Breaks the connection with a seeded probability at each received chunk; 0 disables it. */
  lose(direction: Direction, probability: number, seed: number): void {
    const random = new Random(seed);
    const breaks = probability === 0 ? NEVER : () => random.unit() < probability;
    this.change(direction, (conditions) => {
      conditions.breaks = breaks;
    });
  }

  /** Breaks all open connections at once. */
  breakConnections(): void {
    for (const connection of this.connections) this.break(connection);
  }

  /** Breaks all connections and stops listening. */
  async close(): Promise<void> {
    const closed = new Promise((resolve) => this.server.close(resolve));
    this.breakConnections();
    await closed;
  }

  private connect(client: Socket): void {
    const target = createConnection({
      host: this.to.address,
      port: this.to.port,
      allowHalfOpen: true,
    });
    const onBreak = (): void => this.break(connection);
    const connection: Connection = {
      client,
      target,
      pipes: [
        new Pipe(client, target, this.conditions['to-target'], onBreak),
        new Pipe(target, client, this.conditions['from-target'], onBreak),
      ],
    };
    this.connections.add(connection);
    for (const socket of [client, target]) {
      socket.on('error', onBreak);
      socket.on('close', onBreak);
    }
  }

  private break(connection: Connection): void {
    if (!this.connections.delete(connection)) return;
    for (const pipe of connection.pipes) pipe.end();
    resetSocket(connection.client);
    resetSocket(connection.target);
  }

  private change(direction: Direction, apply: (conditions: DirectionConditions) => void): void {
    if (direction !== 'from-target') apply(this.conditions['to-target']);
    if (direction !== 'to-target') apply(this.conditions['from-target']);
    for (const { pipes } of this.connections) for (const pipe of pipes) pipe.pump();
  }
}

function perfect(): DirectionConditions {
  return { isCut: false, delayMs: 0, breaks: NEVER };
}
