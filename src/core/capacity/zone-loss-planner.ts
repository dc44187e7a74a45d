/**
 * Plans capacity that survives the loss of a zone's spot servers (`plan-for-loss.ts`). The plan takes into account the
 * recent peak need, which zones have spot servers available, and the servers that are on their way.
 */

import type { CapacityKind, CapacityOrder, OrderOutcome, OrderTracker } from './order-tracker.js';
import { planForZoneLoss, type ZoneSupply } from './plan-for-zone-loss.js';
import { RecentPeakNeed } from './recent-peak-need.js';
import type { ScaledService, ServicePlan } from './scaled-service.js';
import { SpotAvailability } from './spot-availability.js';

/**
 * Surplus spot servers are removed after this many boot times. They cost little, and the prompts that they have cached
 * would have to be processed again by other servers.
 */
const SCALE_DOWN_BOOTS = 5;

interface ServiceNeed {
  readonly peak: RecentPeakNeed;
  /** Whether the service has had any work yet. */
  readonly hasSeenWork: boolean;
}

/** Plans for the services of one duty. */
export class ZoneLossPlanner {
  readonly #orders: OrderTracker;
  readonly #supply = new SpotAvailability();
  readonly #needs = new Map<string, ServiceNeed>();
  /** Since when a zone has had more spot servers than its target. */
  readonly #surplusSinceMs = new Map<string, number>();

  constructor(book: OrderTracker) {
    this.#orders = book;
  }

  /** Computes the current target of each zone. */
  plan(scaled: ScaledService, initialPerZone: number, nowMs: number): ServicePlan {
    const { service, limits } = scaled;
    const lost = this.#detectLosses(scaled, nowMs);
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

  /** Whether an order of the plan may be sent now. */
  mayOrder(plan: ServicePlan, order: CapacityOrder, present: number, nowMs: number): boolean {
    if (!order.isSpot) return true;
    const key = keyOf(order.service, order.zone);
    const isLower = order.servers < present;
    if (!isLower) this.#surplusSinceMs.delete(key);
    if (!this.#hasSpot(order, present, nowMs)) {
      return !isLower && nowMs >= this.#orders.retryAtMs(order);
    }
    if (!isLower) return true;
    const sinceMs = this.#surplusSinceMs.get(key) ?? nowMs;
    this.#surplusSinceMs.set(key, sinceMs);
    const remaining = presentOf(plan.scaled) - (present - order.servers);
    const isEnough = remaining >= (plan.summary?.wanted ?? 0);
    return isEnough && nowMs - sinceMs >= SCALE_DOWN_BOOTS * plan.scaled.limits.bootMs;
  }

  /** Records the outcome of an order. */
  recordOrderOutcome({ service, zone, isSpot }: CapacityOrder, outcome: OrderOutcome): void {
    if (isSpot) this.#supply.recordOrderOutcome(keyOf(service, zone), outcome);
  }

  /** @returns the number of spot servers reclaimed by the platform since the last call */
  #detectLosses({ service, limits, zones }: ScaledService, nowMs: number): number {
    let lost = 0;
    for (const { zone, spot } of zones) {
      const kind = { service, zone, isSpot: true };
      const ordered = this.#orders.lastOrdered(kind) ?? spot;
      const reclaimed = this.#supply.recordCount(keyOf(service, zone), spot, ordered, nowMs);
      // Until they have stopped, the platform still counts the reclaimed servers, so a new order would bring none.
      if (reclaimed > 0) this.#orders.recordReclaimed(kind, nowMs + limits.bootMs);
      lost += reclaimed;
    }
    return lost;
  }

  #suppliesOf({ service, zones }: ScaledService, nowMs: number): readonly ZoneSupply[] {
    return zones.map((now): ZoneSupply => {
      const { zone, plain, spot } = now;
      const coming =
        this.#orders.pendingServers({ service, zone, isSpot: false }, plain, nowMs) +
        this.#orders.pendingServers({ service, zone, isSpot: true }, spot, nowMs);
      return {
        ...now,
        coming,
        hasSpot: this.#hasSpot({ service, zone, isSpot: true }, spot, nowMs),
      };
    });
  }

  /**
   * Whether spot servers can be ordered in a zone. A zone that refused to add to the spot servers it has is asked again
   * after the back-off of the refused order.
   */
  #hasSpot(kind: CapacityKind, present: number, nowMs: number): boolean {
    const isOpen = this.#supply.hasSpot(keyOf(kind.service, kind.zone));
    return isOpen || (present > 0 && nowMs >= this.#orders.retryAtMs(kind));
  }

  /** The servers needed now. Until the service has had work, its initial servers are assumed to be what it needs. */
  #neededNow(scaled: ScaledService, initialPerZone: number, nowMs: number): number {
    const { service, limits, zones, neededWithHeadroom } = scaled;
    const known = this.#needs.get(service) ?? { peak: new RecentPeakNeed(), hasSeenWork: false };
    const hasSeenWork = known.hasSeenWork || neededWithHeadroom > 0;
    this.#needs.set(service, { ...known, hasSeenWork });
    const servers = hasSeenWork ? neededWithHeadroom : initialPerZone * zones.length;
    return known.peak.update(servers, limits.bootMs, nowMs);
  }
}

function presentOf({ zones }: ScaledService): number {
  return zones.reduce((sum, { plain, spot }) => sum + plain + spot, 0);
}

function keyOf(service: string, zone: string): string {
  return `${service} ${zone}`;
}
