/**
 * Plans capacity that survives the loss of a zone's spot servers (`plan-for-loss.ts`). The plan takes into account the
 * recent peak need, which zones have spot servers available, and the servers that are on their way.
 */
import { HeldNeed } from './held-need.js';
import type { CapacityKind, CapacityOrder, OrderBook, OrderOutcome } from './order-book.js';
import { planForLoss, type ZoneSupply } from './plan-for-loss.js';
import type { ScaledService, ServicePlan } from './scaled-service.js';
import { SpotSupply } from './spot-supply.js';

/**
 * Surplus spot servers are removed after this many boot times. They cost little, and the prompts that they have cached
 * would have to be processed again by other servers.
 */
const SCALE_DOWN_BOOTS = 5;

interface ServiceNeed {
  readonly peak: HeldNeed;
  /** Whether the service has had any work yet. */
  readonly hasSeenWork: boolean;
}

/** Plans for the services of one duty. */
export class LossBearingPlanner {
  readonly #orders: OrderBook;
  readonly #supply = new SpotSupply();
  readonly #needs = new Map<string, ServiceNeed>();
  /** Since when a zone has had more spot servers than its target. */
  readonly #surplusSinceMs = new Map<string, number>();

  constructor(book: OrderBook) {
    this.#orders = book;
  }

  /** Computes the current target of each zone. */
  plan(scaled: ScaledService, givenPerZone: number, nowMs: number): ServicePlan {
    const { service, limits } = scaled;
    const lost = this.#detectLosses(scaled, nowMs);
    const zones = this.#suppliesOf(scaled, nowMs);
    const needed = this.#neededNow(scaled, givenPerZone, nowMs);
    const { targets, wantedInAll } = planForLoss({
      limits,
      zones,
      givenPerZone,
      neededInAll: needed,
    });
    const belief = {
      service,
      needed,
      wanted: wantedInAll,
      present: presentOf(scaled),
      coming: zones.reduce((sum, { coming }) => sum + coming, 0),
      zonesWithoutSpot: zones.filter(({ hasSpot }) => !hasSpot).map(({ zone }) => zone),
      lost,
    };
    return { scaled, targets, belief };
  }

  /** Whether an order of the plan may be sent now. */
  mayOrder(plan: ServicePlan, order: CapacityOrder, present: number, nowMs: number): boolean {
    if (!order.isSpot) return true;
    const key = keyOf(order.service, order.zone);
    const isLower = order.servers < present;
    if (!isLower) this.#surplusSinceMs.delete(key);
    if (!this.#hasSpot(order, present, nowMs)) {
      return !isLower && nowMs >= this.#orders.againAtMs(order);
    }
    if (!isLower) return true;
    const sinceMs = this.#surplusSinceMs.get(key) ?? nowMs;
    this.#surplusSinceMs.set(key, sinceMs);
    const remaining = presentOf(plan.scaled) - (present - order.servers);
    const isEnough = remaining >= (plan.belief?.wanted ?? 0);
    return isEnough && nowMs - sinceMs >= SCALE_DOWN_BOOTS * plan.scaled.limits.bootMs;
  }

  /** Records the outcome of an order. */
  noteOrder({ service, zone, isSpot }: CapacityOrder, outcome: OrderOutcome): void {
    if (isSpot) this.#supply.noteOrder(keyOf(service, zone), outcome);
  }

  /** @returns the number of spot servers reclaimed by the platform since the last call */
  #detectLosses({ service, limits, zones }: ScaledService, nowMs: number): number {
    let lost = 0;
    for (const { zone, spot } of zones) {
      const kind = { service, zone, isSpot: true };
      const ordered = this.#orders.orderedOf(kind) ?? spot;
      const reclaimed = this.#supply.see(keyOf(service, zone), spot, ordered, nowMs);
      // Until they have stopped, the platform still counts the reclaimed servers, so a new order would bring none.
      if (reclaimed > 0) this.#orders.noteTakenAway(kind, nowMs + limits.bootMs);
      lost += reclaimed;
    }
    return lost;
  }

  #suppliesOf({ service, zones }: ScaledService, nowMs: number): readonly ZoneSupply[] {
    return zones.map((now): ZoneSupply => {
      const { zone, plain, spot } = now;
      const coming =
        this.#orders.comingOf({ service, zone, isSpot: false }, plain, nowMs) +
        this.#orders.comingOf({ service, zone, isSpot: true }, spot, nowMs);
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
    return isOpen || (present > 0 && nowMs >= this.#orders.againAtMs(kind));
  }

  /** The servers needed now. Until the service has had work, its initial servers are assumed to be what it needs. */
  #neededNow(scaled: ScaledService, givenPerZone: number, nowMs: number): number {
    const { service, limits, zones, neededWithRoom } = scaled;
    const known = this.#needs.get(service) ?? { peak: new HeldNeed(), hasSeenWork: false };
    const hasSeenWork = known.hasSeenWork || neededWithRoom > 0;
    this.#needs.set(service, { ...known, hasSeenWork });
    const servers = hasSeenWork ? neededWithRoom : givenPerZone * zones.length;
    return known.peak.take(servers, limits.bootMs, nowMs);
  }
}

function presentOf({ zones }: ScaledService): number {
  return zones.reduce((sum, { plain, spot }) => sum + plain + spot, 0);
}

function keyOf(service: string, zone: string): string {
  return `${service} ${zone}`;
}
