/**
 * Plans capacity that bears the loss of a zone's spot servers (`plan-for-loss.ts`), with what it has seen: the need
 * of the newest while, which zones have spot servers to give, and what is on its way.
 */
import { HeldNeed } from './held-need.js';
import type { CapacityKind, CapacityOrder, OrderBook, OrderOutcome } from './order-book.js';
import { planForLoss, type ZoneSupply } from './plan-for-loss.js';
import type { ScaledService, ServicePlan } from './scaled-service.js';
import { SpotSupply } from './spot-supply.js';

/**
 * Spot servers are let go after so many boots without a use for them: they cost little, and prompts that they keep
 * would have to be read again.
 */
const LOWER_BOOTS = 5;

interface ServiceNeed {
  readonly held: HeldNeed;
  /** Whether any work was seen. */
  readonly hasBegun: boolean;
}

/** Plans for the services of one duty. */
export class LossBearingPlanner {
  readonly #book: OrderBook;
  readonly #supply = new SpotSupply();
  readonly #needs = new Map<string, ServiceNeed>();
  /** Since when a zone has more spot servers than it is to have. */
  readonly #surplusSinceMs = new Map<string, number>();

  constructor(book: OrderBook) {
    this.#book = book;
  }

  /** What each zone is to have now. */
  plan(scaled: ScaledService, givenPerZone: number, nowMs: number): ServicePlan {
    const { service, limits } = scaled;
    const lost = this.#seeLosses(scaled, nowMs);
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

  /** Whether an order that the plan asks for may be given yet. */
  mayOrder(plan: ServicePlan, order: CapacityOrder, present: number, nowMs: number): boolean {
    if (!order.isSpot) return true;
    const key = keyOf(order.service, order.zone);
    const isLower = order.servers < present;
    if (!isLower) this.#surplusSinceMs.delete(key);
    if (!this.#hasSpot(order, present, nowMs)) {
      return !isLower && nowMs >= this.#book.againAtMs(order);
    }
    if (!isLower) return true;
    const sinceMs = this.#surplusSinceMs.get(key) ?? nowMs;
    this.#surplusSinceMs.set(key, sinceMs);
    const left = presentOf(plan.scaled) - (present - order.servers);
    const isEnough = left >= (plan.belief?.wanted ?? 0);
    return isEnough && nowMs - sinceMs >= LOWER_BOOTS * plan.scaled.limits.bootMs;
  }

  /** An order was given. */
  noteOrder({ service, zone, isSpot }: CapacityOrder, outcome: OrderOutcome): void {
    if (isSpot) this.#supply.noteOrder(keyOf(service, zone), outcome);
  }

  /** @returns spot servers that were taken away since the last look */
  #seeLosses({ service, limits, zones }: ScaledService, nowMs: number): number {
    let lost = 0;
    for (const { zone, spot } of zones) {
      const kind = { service, zone, isSpot: true };
      const ordered = this.#book.orderedOf(kind) ?? spot;
      const taken = this.#supply.see(keyOf(service, zone), spot, ordered, nowMs);
      // Those that leave are still counted by the platform until they are gone.
      if (taken > 0) this.#book.noteTakenAway(kind, nowMs + limits.bootMs);
      lost += taken;
    }
    return lost;
  }

  #suppliesOf({ service, zones }: ScaledService, nowMs: number): readonly ZoneSupply[] {
    return zones.map((now): ZoneSupply => {
      const { zone, plain, spot } = now;
      const coming =
        this.#book.comingOf({ service, zone, isSpot: false }, plain, nowMs) +
        this.#book.comingOf({ service, zone, isSpot: true }, spot, nowMs);
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
    return isOpen || (present > 0 && nowMs >= this.#book.againAtMs(kind));
  }

  /** Before any work was seen, whoever gave the servers is taken to have given what the work needs. */
  #neededNow(scaled: ScaledService, givenPerZone: number, nowMs: number): number {
    const { service, limits, zones, neededWithRoom } = scaled;
    const known = this.#needs.get(service) ?? { held: new HeldNeed(), hasBegun: false };
    const hasBegun = known.hasBegun || neededWithRoom > 0;
    this.#needs.set(service, { ...known, hasBegun });
    const servers = hasBegun ? neededWithRoom : givenPerZone * zones.length;
    return known.held.take(servers, limits.bootMs, nowMs);
  }
}

function presentOf({ zones }: ScaledService): number {
  return zones.reduce((sum, { plain, spot }) => sum + plain + spot, 0);
}

function keyOf(service: string, zone: string): string {
  return `${service} ${zone}`;
}
