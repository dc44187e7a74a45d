/**
 * The orders that were given, or announced by the duty's holder: whether one is to be given (again), and how many
 * servers are still to come from it. Orders are counts, so that one that is given twice asks for nothing more.
 */

/** Servers of one kind in one zone. */
export interface CapacityKind {
  readonly service: string;
  readonly zone: string;
  readonly isSpot: boolean;
}

/** How many servers of one kind a zone is to have. */
export interface CapacityOrder extends CapacityKind {
  readonly servers: number;
}

/** What became of an order. */
export type OrderOutcome =
  | 'accepted'
  /** None are to be had, or another daemon has used a higher fencing token. */
  | 'conflict'
  /** It may have been taken, or not. */
  | 'unknown';

interface SentOrder {
  readonly servers: number;
  /** How often in a row it was given and did not bring what it asked for. */
  readonly tries: number;
  /** When it is given again if its servers have not come. */
  readonly retryAtMs: number;
  readonly wasAccepted: boolean;
}

/** An order is given again when its servers have not come in so many times the time that they take to boot. */
const RETRY_BOOTS = 2;
/** Where none are to be had it is asked again sooner: they may be there again before others could have booted. */
const CONFLICT_RETRY_BOOTS = 0.5;
/** The wait before that doubles so often at most. */
const MOST_DOUBLINGS = 3;

/** The newest order of each kind of servers in each zone. */
export class OrderTracker {
  readonly #sent = new Map<string, SentOrder>();

  /** An order was given. */
  recordOutcome(outcome: OrderOutcome, order: CapacityOrder, bootMs: number, nowMs: number): void {
    const before = this.#sent.get(keyOf(order));
    const tries = before?.servers === order.servers ? before.tries + 1 : 1;
    const boots = outcome === 'accepted' ? RETRY_BOOTS : CONFLICT_RETRY_BOOTS;
    const waitMs = boots * bootMs * 2 ** Math.min(MOST_DOUBLINGS, tries - 1);
    this.#sent.set(keyOf(order), {
      servers: order.servers,
      tries,
      retryAtMs: nowMs + waitMs,
      wasAccepted: outcome === 'accepted',
    });
  }

  /** Another daemon gives this order as the duty's holder: its servers are taken to be coming. */
  recordAnnounced(order: CapacityOrder, bootMs: number, nowMs: number): void {
    const retryAtMs = nowMs + RETRY_BOOTS * bootMs;
    const sent = { servers: order.servers, tries: 1, retryAtMs, wasAccepted: true };
    this.#sent.set(keyOf(order), sent);
  }

  /** What was ordered has been taken away: nothing is coming, and it is asked for again after this time. */
  recordReclaimed(kind: CapacityKind, retryAtMs: number): void {
    const servers = this.lastOrdered(kind) ?? 0;
    this.#sent.set(keyOf(kind), { servers, tries: 0, retryAtMs, wasAccepted: false });
  }

  /** How many were asked for last. */
  lastOrdered(kind: CapacityKind): number | undefined {
    return this.#sent.get(keyOf(kind))?.servers;
  }

  /** Whether an order is to be given, with so many servers there now. */
  isDue(order: CapacityOrder, present: number, nowMs: number): boolean {
    const sent = this.#sent.get(keyOf(order));
    if (sent === undefined || sent.servers !== order.servers) return present !== order.servers;
    if (present < order.servers) return nowMs >= sent.retryAtMs;
    // It has brought what it asked for. Servers that others add are not taken away again.
    this.#sent.set(keyOf(order), { ...sent, tries: 0 });
    return false;
  }

  /** When an order of this kind is given again, whatever number it is for. */
  retryAtMs(kind: CapacityKind): number {
    return this.#sent.get(keyOf(kind))?.retryAtMs ?? Number.NEGATIVE_INFINITY;
  }

  /** Servers that an order is still to bring, with so many there now. */
  pendingServers(kind: CapacityKind, present: number, nowMs: number): number {
    const sent = this.#sent.get(keyOf(kind));
    if (sent === undefined || !sent.wasAccepted || nowMs >= sent.retryAtMs) return 0;
    return Math.max(0, sent.servers - present);
  }
}

function keyOf({ service, zone, isSpot }: CapacityKind): string {
  return `${service} ${zone} ${isSpot ? 'spot' : 'plain'}`;
}
