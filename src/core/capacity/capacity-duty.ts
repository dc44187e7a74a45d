/**
 * One daemon's part in ordering capacity: of all daemons one holds the duty (`record-lease.ts`). The duty's record
 * keeps what each zone was given when the duty was first taken, as nobody can read back what was ordered. A holder
 * orders what differs from its plan; another steps in only when that lasts, which shows that the holder is gone.
 */
import {
  type DutyRecord,
  RecordLease,
  type RecordLeaseSettings,
  type RecordOutcome,
  type SeenRecord,
} from '../duty/index.js';
import type { ScalingLimits } from '../gateway/index.js';
import { planCapacity, type ZoneCapacity } from './plan-capacity.js';

/** Servers of both kinds that each zone is to have, by service. */
export type WantedPerZone = Readonly<Record<string, number>>;

/** What the store keeps of the duty. */
export interface CapacityRecord extends DutyRecord {
  readonly wantedPerZone: WantedPerZone;
}

/** A service whose servers are paid by the second, as it is now. */
export interface ScaledService {
  readonly service: string;
  readonly limits: ScalingLimits;
  readonly zones: readonly ZoneCapacity[];
  /** Servers without which the service falls behind its work. */
  readonly neededInAll: number;
}

/** How many servers of one kind a zone is to have. */
export interface CapacityOrder {
  readonly service: string;
  readonly zone: string;
  readonly isSpot: boolean;
  readonly servers: number;
}

/** What is to be done next. */
export type CapacityAction =
  | { readonly kind: 'none' }
  | { readonly kind: 'read' }
  | {
      readonly kind: 'write';
      readonly record: CapacityRecord;
      readonly expectedVersion: number;
    }
  | { readonly kind: 'order'; readonly order: CapacityOrder; readonly fence: number };

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
  readonly againAtMs: number;
}

/** An order is given again when its servers have not come in so many times the time that they take to boot. */
const RETRY_BOOTS = 2;
/** Where none are to be had it is asked again sooner: they may be there again before others could have booted. */
const CONFLICT_RETRY_BOOTS = 0.5;
/** The wait before that doubles so often at most. */
const MOST_DOUBLINGS = 3;
/** Another daemon steps in when what is wanted is not there for so many times as long. */
const STEP_IN_BOOTS = 3;

/** Decides; whoever drives it makes the calls, one at a time, and says what became of them. */
export class CapacityDuty {
  readonly #lease: RecordLease<CapacityRecord>;
  readonly #sent = new Map<string, SentOrder>();
  /** Since when there is something to order. */
  #wantedSinceMs: number | undefined;
  #hasRead = false;

  constructor(settings: RecordLeaseSettings) {
    this.#lease = new RecordLease(settings);
  }

  get isHolder(): boolean {
    return this.#lease.isHolder;
  }

  /** The next action for the services as they are now. */
  next(services: readonly ScaledService[], nowMs: number): CapacityAction {
    if (services.length === 0) return { kind: 'none' };
    if (!this.#hasRead) return { kind: 'read' };
    const wanted = this.#wantedPerZone(services);
    const order = this.#nextOrder(services, wanted, nowMs);
    if (order === undefined) {
      this.#wantedSinceMs = undefined;
      return { kind: 'none' };
    }
    this.#wantedSinceMs ??= nowMs;
    const seen = this.#lease.current;
    if (seen === undefined) return { kind: 'read' };
    if (this.#lease.mayAct(nowMs)) {
      return { kind: 'order', order, fence: this.#lease.nextHead().fence };
    }
    return this.#take(seen, wanted, services, nowMs);
  }

  /**
   * The record was read, or written, or could not be.
   * @param sentMs when the call was sent
   */
  takeRecord(outcome: RecordOutcome<CapacityRecord>, sentMs: number, nowMs: number): void {
    if (outcome.kind === 'seen') this.#hasRead = true;
    this.#lease.take(outcome, sentMs, nowMs);
  }

  /** An order was given; after a conflict the record tells whether the duty is still this daemon's. */
  takeOrder(outcome: OrderOutcome, order: CapacityOrder, bootMs: number, nowMs: number): void {
    const before = this.#sent.get(keyOf(order));
    const tries = before?.servers === order.servers ? before.tries + 1 : 1;
    const boots = outcome === 'accepted' ? RETRY_BOOTS : CONFLICT_RETRY_BOOTS;
    const waitMs = boots * bootMs * 2 ** Math.min(MOST_DOUBLINGS, tries - 1);
    this.#sent.set(keyOf(order), { servers: order.servers, tries, againAtMs: nowMs + waitMs });
    if (outcome === 'conflict') this.#lease.noteDoubt();
  }

  /** A record that stands still is taken over by one that has seen long enough that nobody acts on it. */
  #take(
    { record, version }: SeenRecord<CapacityRecord>,
    wantedPerZone: WantedPerZone,
    services: readonly ScaledService[],
    nowMs: number,
  ): CapacityAction {
    if (!this.#lease.mayWrite(nowMs)) return { kind: 'none' };
    const longestBootMs = Math.max(...services.map(({ limits }) => limits.bootMs));
    const wantedForMs = nowMs - (this.#wantedSinceMs ?? nowMs);
    const isOpen = record === undefined || this.isHolder;
    if (!isOpen && wantedForMs < STEP_IN_BOOTS * longestBootMs) return { kind: 'none' };
    const next = { ...this.#lease.nextHead(), wantedPerZone };
    return { kind: 'write', record: next, expectedVersion: version };
  }

  /** As the record says; what it does not know is kept as it is now. */
  #wantedPerZone(services: readonly ScaledService[]): WantedPerZone {
    const known = this.#lease.current?.record?.wantedPerZone ?? {};
    const entries = services.map(({ service, zones }) => {
      const present = zones.reduce((sum, { plain, spot }) => sum + plain + spot, 0);
      return [service, known[service] ?? Math.ceil(present / Math.max(1, zones.length))] as const;
    });
    return { ...known, ...Object.fromEntries(entries) };
  }

  #nextOrder(
    services: readonly ScaledService[],
    wanted: WantedPerZone,
    nowMs: number,
  ): CapacityOrder | undefined {
    for (const { service, limits, zones, neededInAll } of services) {
      const wantedPerZone = wanted[service] ?? limits.min;
      const targets = planCapacity({ limits, zones, wantedPerZone, neededInAll });
      for (const [index, target] of targets.entries()) {
        const now = zones[index] ?? { zone: target.zone, plain: 0, spot: 0 };
        const order = this.#orderFor(service, now, target, nowMs);
        if (order !== undefined) return order;
      }
    }
    return undefined;
  }

  /** Spot servers first: those that they replace go once they have come. */
  #orderFor(
    service: string,
    now: ZoneCapacity,
    target: ZoneCapacity,
    nowMs: number,
  ): CapacityOrder | undefined {
    const { zone } = target;
    const spot = { service, zone, isSpot: true, servers: target.spot };
    if (this.#isDue(spot, now.spot, nowMs)) return spot;
    const plain = { service, zone, isSpot: false, servers: target.plain };
    if (this.#isDue(plain, now.plain, nowMs)) return plain;
    return undefined;
  }

  #isDue(order: CapacityOrder, present: number, nowMs: number): boolean {
    const sent = this.#sent.get(keyOf(order));
    if (sent === undefined || sent.servers !== order.servers) return present !== order.servers;
    if (present < order.servers) return nowMs >= sent.againAtMs;
    // It has brought what it asked for. Servers that others add are not taken away again.
    this.#sent.set(keyOf(order), { ...sent, tries: 0 });
    return false;
  }
}

function keyOf({ service, zone, isSpot }: CapacityOrder): string {
  return `${service} ${zone} ${isSpot ? 'spot' : 'plain'}`;
}
