/**
 * Plans capacity that bears the loss of a zone's spot servers (`plan-for-loss.ts`), with what it has seen: the need
 * of the newest while, which zones have spot servers to give, and what is on its way.
 */

import type { CapacityKind, CapacityOrder, OrderOutcome, OrderTracker } from './order-tracker.js';
import { planForZoneLoss, type ZoneSupply } from './plan-for-zone-loss.js';
import { RecentPeakNeed } from './recent-peak-need.js';
import type { ScaledService, ServicePlan } from './scaled-service.js';
import { SpotAvailability } from './spot-availability.js';

/**
 * Spot servers are let go after so many boots without a use for them: they cost little, and prompts that they keep
 * would have to be read again.
 */
const LOWER_BOOTS = 5;

interface ServiceNeed {
  readonly held: RecentPeakNeed;
  /** Whether any work was seen. */
  readonly hasBegun: boolean;
}

/** Plans for the services of one duty. */
export class ZoneLossPlanner {
  readonly #book: OrderTracker;
  readonly #supply = new SpotAvailability();
  readonly #needs = new Map<string, ServiceNeed>();
  /** Since when a zone has more spot servers than it is to have. */
  readonly #surplusSinceMs = new Map<string, number>();

  constructor(book: OrderTracker) {
    this.#book = book;
  }

  /** What each zone is to have now. */
  plan(scaled: ScaledService, initialPerZone: number, nowMs: number): ServicePlan {
    const { service, limits } = scaled;
    const lost = this.#seeLosses(scaled, nowMs);
    const zones = this.#suppliesOf(scaled, nowMs);
    const needed = this.#neededNow(scaled, initialPerZone, nowMs);
    const { targets, wantedTotal } = planForZoneLoss({
      limits,
      zones,
      initialPerZone,
      neededTotal: needed,
    });
    const summary = {
      service,
      needed,
      wanted: wantedTotal,
      present: presentOf(scaled),
      coming: zones.reduce((sum, { coming }) => sum + coming, 0),
      zonesWithoutSpot: zones.filter(({ hasSpot }) => !hasSpot).map(({ zone }) => zone),
      lost,
    };
    return { scaled, targets, summary };
  }

  /** Whether an order that the plan asks for may be given yet. */
  mayOrder(plan: ServicePlan, order: CapacityOrder, present: number, nowMs: number): boolean {
    if (!order.isSpot) return true;
    const key = keyOf(order.service, order.zone);
    const isLower = order.servers < present;
    if (!isLower) this.#surplusSinceMs.delete(key);
    if (!this.#hasSpot(order, present, nowMs)) {
      return !isLower && nowMs >= this.#book.retryAtMs(order);
    }
    if (!isLower) return true;
    const sinceMs = this.#surplusSinceMs.get(key) ?? nowMs;
    this.#surplusSinceMs.set(key, sinceMs);
    const left = presentOf(plan.scaled) - (present - order.servers);
    const isEnough = left >= (plan.summary?.wanted ?? 0);
    return isEnough && nowMs - sinceMs >= LOWER_BOOTS * plan.scaled.limits.bootMs;
  }

  /** An order was given. */
  recordOrderOutcome({ service, zone, isSpot }: CapacityOrder, outcome: OrderOutcome): void {
    if (isSpot) this.#supply.recordOrderOutcome(keyOf(service, zone), outcome);
  }

  /** @returns spot servers that were taken away since the last look */
  #seeLosses({ service, limits, zones }: ScaledService, nowMs: number): number {
    let lost = 0;
    for (const { zone, spot } of zones) {
      const kind = { service, zone, isSpot: true };
      const ordered = this.#book.lastOrdered(kind) ?? spot;
      const taken = this.#supply.recordCount(keyOf(service, zone), spot, ordered, nowMs);
      // Those that leave are still counted by the platform until they are gone.
      if (taken > 0) this.#book.recordReclaimed(kind, nowMs + limits.bootMs);
      lost += taken;
    }
    return lost;
  }

  #suppliesOf({ service, zones }: ScaledService, nowMs: number): readonly ZoneSupply[] {
    return zones.map((now): ZoneSupply => {
      const { zone, plain, spot } = now;
      const coming =
        this.#book.pendingServers({ service, zone, isSpot: false }, plain, nowMs) +
        this.#book.pendingServers({ service, zone, isSpot: true }, spot, nowMs);
      return {
        ...now,
        coming,
        hasSpot: this.#hasSpot({ service, zone, isSpot: true }, spot, nowMs),
      };
    });
  }

  /** A zone that has refused more than it has already is asked no more for those: it may have some after a while. */
  #hasSpot(kind: CapacityKind, present: number, nowMs: number): boolean {
    const isOpen = this.#supply.hasSpot(keyOf(kind.service, kind.zone));
    return isOpen || (present > 0 && nowMs >= this.#book.retryAtMs(kind));
  }

  /** Before any work was seen, whoever gave the servers is taken to have given what the work needs. */
  #neededNow(scaled: ScaledService, initialPerZone: number, nowMs: number): number {
    const { service, limits, zones, neededWithHeadroom } = scaled;
    const known = this.#needs.get(service) ?? { held: new RecentPeakNeed(), hasBegun: false };
    const hasBegun = known.hasBegun || neededWithHeadroom > 0;
    this.#needs.set(service, { ...known, hasBegun });
    const servers = hasBegun ? neededWithHeadroom : initialPerZone * zones.length;
    return known.held.update(servers, limits.bootMs, nowMs);
  }
}

function presentOf({ zones }: ScaledService): number {
  return zones.reduce((sum, { plain, spot }) => sum + plain + spot, 0);
}

function keyOf(service: string, zone: string): string {
  return `${service} ${zone}`;
}
