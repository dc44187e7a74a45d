/**
 * The network between simulated nodes: delay with jitter, loss and duplication of datagrams, and
 * cuts in one direction or both. Messages sent into a cut are dropped, not delayed.
 */
import type { Milliseconds } from '../../core/common/time.js';
import type { Random } from '../workload/index.js';
import type { VirtualClock } from './virtual-clock.js';

/** A node's name: a daemon's, a backend's, `platform` or a caller's. */
export type NodeName = string;

/** Properties of all links. */
export interface NetworkOptions {
  readonly sameZoneDelayMs: Milliseconds;
  readonly crossZoneDelayMs: Milliseconds;
  /** The largest relative addition to a delay. */
  readonly jitter: number;
  /** Probability that a datagram is lost. */
  readonly datagramLoss: number;
  /** Probability that a datagram is delivered twice. */
  readonly datagramDuplication: number;
  /** A call without an answer for this long counts as lost. */
  readonly callTimeoutMs: Milliseconds;
}

/** Properties of links within one region. */
export const DEFAULT_NETWORK: NetworkOptions = {
  sameZoneDelayMs: 0.3,
  crossZoneDelayMs: 1.5,
  jitter: 0.5,
  datagramLoss: 0.01,
  datagramDuplication: 0.005,
  callTimeoutMs: 1_000,
};

/** The result of a call. `not-sent`: the receiver did not get or did not serve it. */
export type CallResult<Answer> =
  | { readonly kind: 'answered'; readonly answer: Answer }
  | { readonly kind: 'not-sent' }
  | { readonly kind: 'lost' };

/** One direction between two nodes. */
interface Connection {
  lastArrival: number;
  /** When the pending messages were sent. */
  sentAt: number;
  /** Messages in flight that were sent at `sentAt`, the latest send time; null once they have arrived. */
  pending: (() => void)[] | null;
}

/** Delivers messages between nodes in virtual time. */
export class SimulatedNetwork {
  readonly #cuts = new Set<string>();
  readonly #zones = new Map<NodeName, string>();
  readonly #connections = new Map<NodeName, Map<NodeName, Connection>>();

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: Random,
    private readonly options: NetworkOptions,
  ) {}

  /** Places a node in a zone. Zone cuts do not affect nodes without a zone, such as callers. */
  place(node: NodeName, zone: string): void {
    this.#zones.set(node, zone);
  }

  /** Cuts one direction. */
  cut(from: NodeName, to: NodeName): void {
    this.#cuts.add(linkKey(from, to));
  }

  /** Cuts every link between a zone's nodes and all others, in both directions. */
  cutZone(zone: string): void {
    for (const [node, nodeZone] of this.#zones) {
      for (const [other, otherZone] of this.#zones) {
        if ((nodeZone === zone) !== (otherZone === zone)) {
          this.cut(node, other);
        }
      }
    }
  }

  /** Heals all cuts. */
  heal(): void {
    this.#cuts.clear();
  }

  /** Whether messages currently pass in that direction. */
  passes(from: NodeName, to: NodeName): boolean {
    return this.#cuts.size === 0 || !this.#cuts.has(linkKey(from, to));
  }

  /** Sends a datagram, which may be lost, duplicated or reordered. */
  sendDatagram(from: NodeName, to: NodeName, deliver: () => void): void {
    const lost = this.random.unit() < this.options.datagramLoss;
    if (lost || !this.passes(from, to)) {
      return;
    }
    this.clock.scheduleAt(this.clock.now + this.delay(from, to), deliver);
    if (this.random.unit() < this.options.datagramDuplication) {
      this.clock.scheduleAt(this.clock.now + this.delay(from, to), deliver);
    }
  }

  /**
   * Sends over a connection, which preserves order. The message arrives unless the link is cut at the
   * time of sending. Messages sent at the same time arrive at the same time.
   */
  sendReliably(from: NodeName, to: NodeName, deliver: () => void): void {
    if (!this.passes(from, to)) {
      return;
    }
    const connection = this.#connection(from, to);
    const { now } = this.clock;
    if (connection.pending !== null && connection.sentAt === now) {
      connection.pending.push(deliver);
      return;
    }
    const messages = [deliver];
    connection.sentAt = now;
    connection.pending = messages;
    connection.lastArrival = Math.max(connection.lastArrival, now + this.delay(from, to));
    this.clock.scheduleAt(connection.lastArrival, () => {
      if (connection.pending === messages) connection.pending = null;
      for (const message of messages) message();
    });
  }

  /** Calls a node: `serve` runs there and may answer later; false from `serve` means not served. */
  call<Answer>(
    from: NodeName,
    to: NodeName,
    serve: (answer: (value: Answer) => void) => boolean,
    done: (result: CallResult<Answer>) => void,
  ): void {
    let settled = false;
    const finish = (result: CallResult<Answer>): void => {
      if (!settled) {
        settled = true;
        done(result);
      }
    };
    this.clock.scheduleAt(this.clock.now + this.options.callTimeoutMs, () =>
      finish({ kind: 'lost' }),
    );
    if (!this.passes(from, to)) {
      this.clock.scheduleAt(this.clock.now + this.options.callTimeoutMs / 2, () =>
        finish({ kind: 'not-sent' }),
      );
      return;
    }
    const answer = (value: Answer): void =>
      this.sendReliably(to, from, () => finish({ kind: 'answered', answer: value }));
    this.sendReliably(from, to, () => {
      if (!serve(answer)) {
        this.sendReliably(to, from, () => finish({ kind: 'not-sent' }));
      }
    });
  }

  #connection(from: NodeName, to: NodeName): Connection {
    let fromNode = this.#connections.get(from);
    if (fromNode === undefined) {
      fromNode = new Map();
      this.#connections.set(from, fromNode);
    }
    let connection = fromNode.get(to);
    if (connection === undefined) {
      connection = { lastArrival: 0, sentAt: 0, pending: null };
      fromNode.set(to, connection);
    }
    return connection;
  }

  /** The delay of one message. */
  delay(from: NodeName, to: NodeName): Milliseconds {
    const { sameZoneDelayMs, crossZoneDelayMs, jitter } = this.options;
    const sameZone = this.#zones.get(from) === this.#zones.get(to);
    const base = sameZone ? sameZoneDelayMs : crossZoneDelayMs;
    return base * (1 + jitter * this.random.unit());
  }
}

function linkKey(from: NodeName, to: NodeName): string {
  return `${from} ${to}`;
}
