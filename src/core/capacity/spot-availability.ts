/**
 * Which zones have spot servers to give. A zone's spot servers are taken away all at once, and for a while no others
 * are to be had there; that shows when most of them go together, before any order is refused. A zone that has none to
 * give is asked again now and then, and has some again once an order was accepted.
 */
import type { OrderOutcome } from './order-tracker.js';

interface SpotCount {
  readonly servers: number;
  readonly atMs: number;
}

interface ZoneBelief {
  counts: SpotCount[];
  hasSpot: boolean;
}

/** Servers of one zone that go within this time go for one cause: a list of them comes in parts. */
const TOGETHER_MS = 3_000;
/** A zone that loses this part of its spot servers at once has had them taken away; less may be a failure. */
const TAKEN_SHARE = 0.5;
/** One server alone may have failed. */
const LEAST_TAKEN = 2;

/** What is believed of each zone's spot servers; zones by any key. */
export class SpotAvailability {
  readonly #zones = new Map<string, ZoneBelief>();

  hasSpot(zone: string): boolean {
    return this.#zones.get(zone)?.hasSpot ?? true;
  }

  /**
   * So many spot servers of a zone take work now.
   * @param ordered how many were asked for last: those beyond go as they are to
   * @returns how many were taken away, where that shows for the first time
   */
  recordCount(zone: string, servers: number, ordered: number, nowMs: number): number {
    const belief = this.#beliefOf(zone);
    belief.counts = belief.counts.filter(({ atMs }) => nowMs - atMs <= TOGETHER_MS);
    const newest = belief.counts.at(-1)?.servers;
    if (newest !== undefined && servers > newest) belief.hasSpot = true;
    const seen = Math.max(servers, ...belief.counts.map((count) => count.servers));
    const most = Math.max(servers, Math.min(seen, ordered));
    const lost = most - servers;
    if (lost >= LEAST_TAKEN && lost >= TAKEN_SHARE * most) {
      belief.counts = [{ servers, atMs: nowMs }];
      belief.hasSpot = false;
      return lost;
    }
    if (newest === servers) belief.counts.pop();
    belief.counts.push({ servers, atMs: nowMs });
    return 0;
  }

  /** Spot servers were asked for in a zone. */
  recordOrderOutcome(zone: string, outcome: OrderOutcome): void {
    const belief = this.#beliefOf(zone);
    switch (outcome) {
      case 'accepted':
        belief.hasSpot = true;
        return;
      case 'conflict':
        belief.hasSpot = false;
        return;
      case 'unknown':
        return;
    }
  }

  #beliefOf(zone: string): ZoneBelief {
    const known = this.#zones.get(zone);
    if (known !== undefined) return known;
    const created = { counts: [], hasSpot: true };
    this.#zones.set(zone, created);
    return created;
  }
}
