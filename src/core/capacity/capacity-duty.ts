/**
 * One daemon's part in ordering capacity. One daemon at a time holds the duty (`record-lease.ts`). The platform does
 * not report earlier orders, so the duty's record stores the number of servers per zone that was found when the duty
 * was first taken, and the current orders of the holder. The holder orders whatever differs from its plan. When a
 * difference persists, the holder is assumed to have failed and another daemon takes over: after a short time if
 * servers were lost and no replacements are on their way, later if callers are not affected.
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

/** The target number of servers per zone, spot and plain together, by service. */
export type WantedPerZone = Readonly<Record<string, number>>;

/** The duty's record in the store. */
export interface CapacityRecord extends DutyRecord {
  readonly wantedPerZone: WantedPerZone;
  /** The holder's orders, from which the other daemons know what is coming; absent unless zone loss is tolerated. */
  readonly targets?: readonly CapacityOrder[] | undefined;
}

/** The next action of the caller. */
export type CapacityAction =
  | { readonly kind: 'none' }
  | { readonly kind: 'read' }
  | {
      readonly kind: 'write';
      readonly record: CapacityRecord;
      readonly expectedVersion: number;
    }
  | { readonly kind: 'order'; readonly order: CapacityOrder; readonly fence: number };

export interface CapacityDutySettings extends RecordLeaseSettings {
  /** Whether spare servers are ordered for the loss of a zone's spot servers, and lost servers replaced at once. */
  readonly toleratesZoneLoss: boolean;
}

/** Another daemon takes over when an order has been due for this many boot times of the slowest service. */
const TAKE_OVER_BOOTS = 3;
/**
 * After a loss, another daemon takes over when no replacements were announced within this time. A working holder has
 * checked several times and announced its orders by then, and callers have waited for less than a server's boot time.
 */
const LOSS_TAKE_OVER_MS = 1_000;
/**
 * A loss is at least this many missing servers, and at least this share of the wanted ones, that are neither present
 * nor coming. A single failed server is replaced by the holder's regular orders.
 */
const MIN_LOST_SERVERS = 2;
const MIN_LOST_SHARE = 0.1;

/** Decides the next action; the caller carries out one action at a time and passes back its outcome. */
export class CapacityDuty {
  readonly #lease: RecordLease<CapacityRecord>;
  readonly #bearsLoss: boolean;
  readonly #orders = new OrderTracker();
  readonly #planner = new ZoneLossPlanner(this.#orders);
  #plans: readonly ServicePlan[] = [];
  /** Since when an order has been due. */
  #orderDueSinceMs: number | undefined;
  /** Since when servers have been missing that nobody has ordered. */
  #shortSinceMs: number | undefined;
  /** The store position of the record when it was last seen. */
  #seenPosition: StorePosition = { era: FIRST_ERA, revision: 0 };
  /** The servers per zone as last read from the record. */
  #recordedPerZone: WantedPerZone = {};
  /** The servers per zone of each service when this daemon first saw it. */
  readonly #firstSeenPerZone = new Map<string, number>();
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

  /** The inputs of the last plan; empty unless zone loss is tolerated and the record was read. */
  get summaries(): readonly CapacitySummary[] {
    if (!this.#hasRead) return [];
    return this.#plans.flatMap(({ summary }) => (summary === undefined ? [] : [summary]));
  }

  /** Decides the next action from the current state of the services. */
  next(services: readonly ScaledService[], nowMs: number): CapacityAction {
    if (services.length === 0) return { kind: 'none' };
    const wanted = this.#wantedPerZone(services);
    this.#plans = services.map((service) => this.#planOf(service, wanted, nowMs));
    if (!this.#hasRead) return { kind: 'read' };
    this.#trackShortage(nowMs);
    const order = this.#nextOrder(nowMs);
    this.#trackOrderDue(order !== undefined, nowMs);
    if (this.#bearsLoss && this.#isOutdated && !this.isHolder) return { kind: 'read' };
    if (order === undefined) return this.#announcement(wanted, nowMs);
    const seen = this.#lease.current(nowMs);
    if (seen === undefined) return { kind: 'read' };
    if (this.#lease.mayAct(nowMs)) {
      return { kind: 'order', order, fence: this.#lease.nextHead().fence };
    }
    return this.#tryTakeOver(seen, wanted, services, nowMs);
  }

  /**
   * Applies the outcome of a read or write of the record.
   * @param sentMs when the call was sent
   */
  applyRecord(outcome: RecordOutcome<CapacityRecord>, sentMs: number, nowMs: number): void {
    this.#lease.applyOutcome(outcome, sentMs, nowMs);
    this.#isOutdated = false;
    if (outcome.kind !== 'seen') return;
    this.#hasRead = true;
    // A record that no longer exists was lost when the store was restored from an older copy; the last values stay.
    this.#recordedPerZone = outcome.record?.wantedPerZone ?? this.#recordedPerZone;
    const seen = { era: outcome.era, revision: outcome.version };
    const isUpdate = !isSamePosition(seen, this.#seenPosition) && !outcome.isOwnWrite;
    this.#seenPosition = seen;
    if (isUpdate) this.#applyTargets(outcome.record?.targets ?? [], nowMs);
  }

  /** Records the outcome of an order. After a conflict, another daemon may hold the duty: the record is read again. */
  recordOrderOutcome(
    outcome: OrderOutcome,
    order: CapacityOrder,
    bootMs: number,
    nowMs: number,
  ): void {
    this.#orders.recordOutcome(outcome, order, bootMs, nowMs);
    if (this.#bearsLoss) this.#planner.recordOrderOutcome(order, outcome);
    if (outcome === 'conflict') this.#lease.requireRead();
  }

  /** Writes the record to take over or keep the duty, if the holder has had enough time to act. */
  #tryTakeOver(
    { record, version }: SeenRecord<CapacityRecord>,
    wantedPerZone: WantedPerZone,
    services: readonly ScaledService[],
    nowMs: number,
  ): CapacityAction {
    if (!this.#lease.mayWrite(nowMs)) return { kind: 'none' };
    const longestBootMs = Math.max(...services.map(({ limits }) => limits.bootMs));
    const isVacantOrOwn = record === undefined || this.isHolder;
    const isOverdue = hasLasted(this.#orderDueSinceMs, TAKE_OVER_BOOTS * longestBootMs, nowMs);
    const isLossUnanswered = hasLasted(this.#shortSinceMs, LOSS_TAKE_OVER_MS, nowMs);
    if (!isVacantOrOwn && !isOverdue && !isLossUnanswered) return { kind: 'none' };
    return this.#write(wantedPerZone, version);
  }

  /** Writes changed orders to the record, if this daemon certainly holds the duty. */
  #announcement(wantedPerZone: WantedPerZone, nowMs: number): CapacityAction {
    const seen = this.#lease.current(nowMs);
    if (!this.#bearsLoss || seen === undefined || !this.#lease.mayAct(nowMs)) {
      return { kind: 'none' };
    }
    const announced = seen.record?.targets ?? [];
    const isAnnounced = JSON.stringify(announced) === JSON.stringify(this.#targets());
    return isAnnounced ? { kind: 'none' } : this.#write(wantedPerZone, seen.version);
  }

  #write(wantedPerZone: WantedPerZone, expectedVersion: number): CapacityAction {
    const head = { ...this.#lease.nextHead(), wantedPerZone };
    const record = this.#bearsLoss ? { ...head, targets: this.#targets() } : head;
    return { kind: 'write', record, expectedVersion };
  }

  /** The recorded numbers; for services that the record lacks, the numbers that this daemon first saw. */
  #wantedPerZone(services: readonly ScaledService[]): WantedPerZone {
    for (const { service, zones } of services) {
      if (this.#firstSeenPerZone.has(service)) continue;
      const present = zones.reduce((sum, { plain, spot }) => sum + plain + spot, 0);
      this.#firstSeenPerZone.set(service, Math.ceil(present / Math.max(1, zones.length)));
    }
    return { ...Object.fromEntries(this.#firstSeenPerZone), ...this.#recordedPerZone };
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
   * Tracks since when an order has been due. Once none is due any more, the holder has probably written the record,
   * so it is read again: a daemon that already knows how long the record has been unchanged can take over without
   * first waiting for a lease duration.
   */
  #trackOrderDue(isWanted: boolean, nowMs: number): void {
    if (!isWanted && this.#orderDueSinceMs !== undefined) this.#isOutdated = true;
    this.#orderDueSinceMs = isWanted ? (this.#orderDueSinceMs ?? nowMs) : undefined;
  }

  #trackShortage(nowMs: number): void {
    const isShort = this.summaries.some(
      ({ present, coming, wanted }) =>
        wanted - present - coming >= Math.max(MIN_LOST_SERVERS, MIN_LOST_SHARE * wanted),
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
    return this.#orders.isDue(order, present, nowMs);
  }

  #targets(): readonly CapacityOrder[] {
    return this.#plans.flatMap((plan) => (plan.summary === undefined ? [] : ordersOf(plan)));
  }

  #applyTargets(targets: readonly CapacityOrder[], nowMs: number): void {
    for (const order of targets) {
      const plan = this.#plans.find(({ scaled }) => scaled.service === order.service);
      if (plan !== undefined) this.#orders.recordAnnounced(order, plan.scaled.limits.bootMs, nowMs);
    }
  }
}

/** Orders spot servers first, as plain servers are removed only once the spot servers that replace them have come. */
function ordersOf({ scaled, targets }: ServicePlan): readonly CapacityOrder[] {
  const { service } = scaled;
  return targets.flatMap(({ zone, plain, spot }) => [
    { service, zone, isSpot: true, servers: spot },
    { service, zone, isSpot: false, servers: plain },
  ]);
}

function hasLasted(sinceMs: number | undefined, spanMs: number, nowMs: number): boolean {
  return sinceMs !== undefined && nowMs - sinceMs >= spanMs;
}
