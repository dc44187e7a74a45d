/**
 * One daemon's part in ordering capacity: of all daemons one holds the duty (`record-lease.ts`). The duty's record
 * keeps what each zone was given when the duty was first taken, as nobody can read back what was ordered, and what
 * the holder orders now. A holder orders what differs from its plan. Another steps in when that lasts, which shows
 * that the holder is gone: soon where servers are lost and nothing is on its way, later where nobody suffers.
 */
import {
  type DutyRecord,
  RecordLease,
  type RecordLeaseSettings,
  type RecordOutcome,
  type SeenRecord,
} from '../duty/index.js';
import { FIRST_ERA, isSamePosition, type StorePosition } from '../platform/store-position.js';
import { type CapacityOrder, type OrderOutcome, OrderTracker } from './order-tracker.js';
import { planCapacity } from './plan-capacity.js';
import type { CapacitySummary, ScaledService, ServicePlan } from './scaled-service.js';
import { ZoneLossPlanner } from './zone-loss-planner.js';

/** Servers of both kinds that each zone is to have, by service. */
export type WantedPerZone = Readonly<Record<string, number>>;

/** What the store keeps of the duty. */
export interface CapacityRecord extends DutyRecord {
  readonly wantedPerZone: WantedPerZone;
  /** What the holder orders, so that others know what is coming; absent where it bears no loss. */
  readonly targets?: readonly CapacityOrder[] | undefined;
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

/** What a duty is built from. */
export interface CapacityDutySettings extends RecordLeaseSettings {
  /** Whether servers are ordered with room for a loss, and made up at once after one. */
  readonly toleratesZoneLoss: boolean;
}

/** Another daemon steps in when what is wanted is not there for so many times as long as servers boot. */
const STEP_IN_BOOTS = 3;
/**
 * After a loss it does so after this time: the holder has looked several times and told what it orders, and callers
 * have not yet waited for as long as servers take to boot.
 */
const LOSS_STEP_IN_MS = 1_000;
/** So many servers that are neither there nor coming are a loss; a single failure is made up in time. */
const LEAST_LOSS = 2;
const LOSS_SHARE = 0.1;

/** Decides; whoever drives it makes the calls, one at a time, and says what became of them. */
export class CapacityDuty {
  readonly #lease: RecordLease<CapacityRecord>;
  readonly #bearsLoss: boolean;
  readonly #book = new OrderTracker();
  readonly #planner = new ZoneLossPlanner(this.#book);
  #plans: readonly ServicePlan[] = [];
  /** Since when there is something to order. */
  #wantedSinceMs: number | undefined;
  /** Since when servers are lacking that nobody has ordered. */
  #shortSinceMs: number | undefined;
  /** Where the record stood when it was last seen. */
  #seen: StorePosition = { era: FIRST_ERA, revision: 0 };
  /** What each zone was given, as the record last said. */
  #known: WantedPerZone = {};
  /** What each zone had of a service when this daemon first saw it. */
  readonly #firstSeen = new Map<string, number>();
  /** Whether the holder has probably written since the record was read. */
  #isOutdated = false;
  #hasRead = false;

  constructor(settings: CapacityDutySettings) {
    this.#lease = new RecordLease(settings);
    this.#bearsLoss = settings.toleratesZoneLoss;
  }

  get isHolder(): boolean {
    return this.#lease.isHolder;
  }

  /** What the last plan was made from; none where the duty bears no loss, or its record was never read. */
  get summaries(): readonly CapacitySummary[] {
    if (!this.#hasRead) return [];
    return this.#plans.flatMap(({ summary }) => (summary === undefined ? [] : [summary]));
  }

  /** The next action for the services as they are now. */
  next(services: readonly ScaledService[], nowMs: number): CapacityAction {
    if (services.length === 0) return { kind: 'none' };
    const wanted = this.#wantedPerZone(services);
    this.#plans = services.map((service) => this.#planOf(service, wanted, nowMs));
    if (!this.#hasRead) return { kind: 'read' };
    this.#noteShort(nowMs);
    const order = this.#nextOrder(nowMs);
    this.#noteWanted(order !== undefined, nowMs);
    if (this.#bearsLoss && this.#isOutdated && !this.isHolder) return { kind: 'read' };
    if (order === undefined) return this.#announcement(wanted, nowMs);
    const seen = this.#lease.current(nowMs);
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
  applyRecord(outcome: RecordOutcome<CapacityRecord>, sentMs: number, nowMs: number): void {
    this.#lease.applyOutcome(outcome, sentMs, nowMs);
    this.#isOutdated = false;
    if (outcome.kind !== 'seen') return;
    this.#hasRead = true;
    // A record that is there no more was lost with what an older copy of the store lacks.
    this.#known = outcome.record?.wantedPerZone ?? this.#known;
    const seen = { era: outcome.era, revision: outcome.version };
    const isNews = !isSamePosition(seen, this.#seen) && !outcome.isOwnWrite;
    this.#seen = seen;
    if (isNews) this.#takeTargets(outcome.record?.targets ?? [], nowMs);
  }

  /** An order was given; after a conflict the record tells whether the duty is still this daemon's. */
  recordOrderOutcome(
    outcome: OrderOutcome,
    order: CapacityOrder,
    bootMs: number,
    nowMs: number,
  ): void {
    this.#book.recordOutcome(outcome, order, bootMs, nowMs);
    if (this.#bearsLoss) this.#planner.recordOrderOutcome(order, outcome);
    if (outcome === 'conflict') this.#lease.requireRead();
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
    const isOpen = record === undefined || this.isHolder;
    const isLasting = lastsFor(this.#wantedSinceMs, STEP_IN_BOOTS * longestBootMs, nowMs);
    const isLoss = lastsFor(this.#shortSinceMs, LOSS_STEP_IN_MS, nowMs);
    if (!isOpen && !isLasting && !isLoss) return { kind: 'none' };
    return this.#write(wantedPerZone, version);
  }

  /** The holder tells what it has ordered, while it is the holder without doubt. */
  #announcement(wantedPerZone: WantedPerZone, nowMs: number): CapacityAction {
    const seen = this.#lease.current(nowMs);
    if (!this.#bearsLoss || seen === undefined || !this.#lease.mayAct(nowMs)) {
      return { kind: 'none' };
    }
    const told = seen.record?.targets ?? [];
    const isTold = JSON.stringify(told) === JSON.stringify(this.#targets());
    return isTold ? { kind: 'none' } : this.#write(wantedPerZone, seen.version);
  }

  #write(wantedPerZone: WantedPerZone, expectedVersion: number): CapacityAction {
    const head = { ...this.#lease.nextHead(), wantedPerZone };
    const record = this.#bearsLoss ? { ...head, targets: this.#targets() } : head;
    return { kind: 'write', record, expectedVersion };
  }

  /** As the record says; what it does not know is kept as it was first seen. */
  #wantedPerZone(services: readonly ScaledService[]): WantedPerZone {
    for (const { service, zones } of services) {
      if (this.#firstSeen.has(service)) continue;
      const present = zones.reduce((sum, { plain, spot }) => sum + plain + spot, 0);
      this.#firstSeen.set(service, Math.ceil(present / Math.max(1, zones.length)));
    }
    return { ...Object.fromEntries(this.#firstSeen), ...this.#known };
  }

  #planOf(scaled: ScaledService, wanted: WantedPerZone, nowMs: number): ServicePlan {
    const { service, limits, zones, neededTotal } = scaled;
    const wantedPerZone = wanted[service] ?? limits.min;
    if (this.#bearsLoss && limits.spotPrice < 1) {
      return this.#planner.plan(scaled, wantedPerZone, nowMs);
    }
    const targets = planCapacity({ limits, zones, wantedPerZone, neededTotal });
    return { scaled, targets, summary: undefined };
  }

  /**
   * What was wanted has come, so the holder has written; a daemon that knows how long the record has stood since
   * need not wait for that when the holder is lost.
   */
  #noteWanted(isWanted: boolean, nowMs: number): void {
    if (!isWanted && this.#wantedSinceMs !== undefined) this.#isOutdated = true;
    this.#wantedSinceMs = isWanted ? (this.#wantedSinceMs ?? nowMs) : undefined;
  }

  #noteShort(nowMs: number): void {
    const isShort = this.summaries.some(
      ({ present, coming, wanted }) =>
        wanted - present - coming >= Math.max(LEAST_LOSS, LOSS_SHARE * wanted),
    );
    if (isShort && this.#shortSinceMs === undefined) this.#isOutdated = true;
    this.#shortSinceMs = isShort ? (this.#shortSinceMs ?? nowMs) : undefined;
  }

  #nextOrder(nowMs: number): CapacityOrder | undefined {
    for (const plan of this.#plans) {
      for (const order of ordersOf(plan)) {
        if (this.#isDue(plan, order, nowMs)) return order;
      }
    }
    return undefined;
  }

  #isDue(plan: ServicePlan, order: CapacityOrder, nowMs: number): boolean {
    const now = plan.scaled.zones.find(({ zone }) => zone === order.zone);
    const present = (order.isSpot ? now?.spot : now?.plain) ?? 0;
    if (plan.summary !== undefined && !this.#planner.mayOrder(plan, order, present, nowMs)) {
      return false;
    }
    return this.#book.isDue(order, present, nowMs);
  }

  #targets(): readonly CapacityOrder[] {
    return this.#plans.flatMap((plan) => (plan.summary === undefined ? [] : ordersOf(plan)));
  }

  #takeTargets(targets: readonly CapacityOrder[], nowMs: number): void {
    for (const order of targets) {
      const plan = this.#plans.find(({ scaled }) => scaled.service === order.service);
      if (plan !== undefined) this.#book.recordAnnounced(order, plan.scaled.limits.bootMs, nowMs);
    }
  }
}

/** Spot servers first: those that they replace go once they have come. */
function ordersOf({ scaled, targets }: ServicePlan): readonly CapacityOrder[] {
  const { service } = scaled;
  return targets.flatMap(({ zone, plain, spot }) => [
    { service, zone, isSpot: true, servers: spot },
    { service, zone, isSpot: false, servers: plain },
  ]);
}

function lastsFor(sinceMs: number | undefined, spanMs: number, nowMs: number): boolean {
  return sinceMs !== undefined && nowMs - sinceMs >= spanMs;
}
