/**
 * The newest orders, sent by this daemon or announced by the duty's holder: whether an order must be sent (again), and
 * how many of its servers are still to come. An order states the total number of servers, so sending it twice orders
 * nothing more.
 */

/** Servers of one kind in one zone. */
export interface CapacityKind {
  readonly service: string;
  readonly zone: string;
  readonly isSpot: boolean;
}

/** The number of servers of one kind that a zone should have. */
export interface CapacityOrder extends CapacityKind {
  readonly servers: number;
}

/** The outcome of an order. */
export type OrderOutcome =
  | 'accepted'
  /** No servers are available, or another daemon has used a higher fencing token. */
  | 'conflict'
  /** The order may or may not have taken effect. */
  | 'unknown';

interface SentOrder {
  readonly servers: number;
  /** How many times in a row the order was sent without bringing all of its servers. */
  readonly tries: number;
  /** When the order is sent again if its servers have not come. */
  readonly retryAtMs: number;
  readonly wasAccepted: boolean;
}

/** An accepted order is sent again when its servers have not come within this many boot times. */
const RETRY_BOOTS = 2;
/**
 * An order that was not accepted is sent again after this many boot times. The wait is shorter, as servers may become
 * available before replacements ordered elsewhere have booted.
 */
const CONFLICT_RETRY_BOOTS = 0.5;
/** The wait doubles with each attempt, at most this many times. */
const MAX_DOUBLINGS = 3;

/** The newest order for each kind of server in each zone. */
export class OrderTracker {
  readonly #sent = new Map<string, SentOrder>();

  /** Records the outcome of an order that this daemon sent. */
  recordOutcome(outcome: OrderOutcome, order: CapacityOrder, bootMs: number, nowMs: number): void {
    const previous = this.#sent.get(keyOf(order));
    const tries = previous?.servers === order.servers ? previous.tries + 1 : 1;
    const boots = outcome === 'accepted' ? RETRY_BOOTS : CONFLICT_RETRY_BOOTS;
    const waitMs = boots * bootMs * 2 ** Math.min(MAX_DOUBLINGS, tries - 1);
    this.#sent.set(keyOf(order), {
      servers: order.servers,
      tries,
      retryAtMs: nowMs + waitMs,
      wasAccepted: outcome === 'accepted',
    });
  }

  /** Records an order that the duty's holder announced; its servers are assumed to be coming. */
  recordAnnounced(order: CapacityOrder, bootMs: number, nowMs: number): void {
    const retryAtMs = nowMs + RETRY_BOOTS * bootMs;
    const sent = { servers: order.servers, tries: 1, retryAtMs, wasAccepted: true };
    this.#sent.set(keyOf(order), sent);
  }

  /** Records that the platform reclaimed ordered servers: none are coming, the order is sent again at `retryAtMs`. */
  recordReclaimed(kind: CapacityKind, retryAtMs: number): void {
    const servers = this.lastOrdered(kind) ?? 0;
    this.#sent.set(keyOf(kind), { servers, tries: 0, retryAtMs, wasAccepted: false });
  }

  /** The number of servers last ordered. */
  lastOrdered(kind: CapacityKind): number | undefined {
    return this.#sent.get(keyOf(kind))?.servers;
  }

  /** Whether an order must be sent, given the number of servers present. */
  isDue(order: CapacityOrder, present: number, nowMs: number): boolean {
    const sent = this.#sent.get(keyOf(order));
    if (sent === undefined || sent.servers !== order.servers) return present !== order.servers;
    if (present < order.servers) return nowMs >= sent.retryAtMs;
    // The order is fulfilled. Servers that others have added are not removed.
    this.#sent.set(keyOf(order), { ...sent, tries: 0 });
    return false;
  }

  /** When an order of this kind may be sent again, whatever its number of servers. */
  retryAtMs(kind: CapacityKind): number {
    return this.#sent.get(keyOf(kind))?.retryAtMs ?? Number.NEGATIVE_INFINITY;
  }

  /** The number of ordered servers that are still to come, given the number present. */
  pendingServers(kind: CapacityKind, present: number, nowMs: number): number {
    const sent = this.#sent.get(keyOf(kind));
    if (sent === undefined || !sent.wasAccepted || nowMs >= sent.retryAtMs) return 0;
    return Math.max(0, sent.servers - present);
  }
}

function keyOf({ service, zone, isSpot }: CapacityKind): string {
  return `${service} ${zone} ${isSpot ? 'spot' : 'plain'}`;
}
