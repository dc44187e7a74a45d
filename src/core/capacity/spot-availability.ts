/**
 * Tracks which zones have spot servers available. The platform reclaims a zone's spot servers all at once, and none are
 * available there for a while. This is detected when most of them disappear together, before any order is refused. A
 * zone without available spot servers is asked again periodically, and counts as available once an order is accepted.
 */
import type { OrderOutcome } from './order-tracker.js';

interface SpotCount {
  readonly servers: number;
  readonly atMs: number;
}

interface ZoneState {
  counts: SpotCount[];
  hasSpot: boolean;
}

/** Servers of a zone that disappear within this time count as one loss, as updates of the server list come in parts. */
const LOSS_WINDOW_MS = 3_000;
/** A zone that loses this share of its spot servers at once has had them reclaimed; fewer may be failures. */
const MIN_RECLAIMED_SHARE = 0.5;
/** Fewer lost servers than this may be failures. */
const MIN_RECLAIMED_SERVERS = 2;

/** The availability of spot servers by zone; any string may identify a zone. */
export class SpotAvailability {
  readonly #zones = new Map<string, ZoneState>();

  hasSpot(zone: string): boolean {
    return this.#zones.get(zone)?.hasSpot ?? true;
  }

  /**
   * Records the number of a zone's spot servers that accept work.
   * @param ordered the number last ordered; servers beyond it are expected to disappear
   * @returns the number of reclaimed servers when a loss is first detected, else 0
   */
  recordCount(zone: string, servers: number, ordered: number, nowMs: number): number {
    const state = this.#stateOf(zone);
    state.counts = state.counts.filter(({ atMs }) => nowMs - atMs <= LOSS_WINDOW_MS);
    const newest = state.counts.at(-1)?.servers;
    if (newest !== undefined && servers > newest) state.hasSpot = true;
    const peak = Math.max(servers, ...state.counts.map((count) => count.servers));
    const countBefore = Math.max(servers, Math.min(peak, ordered));
    const lost = countBefore - servers;
    if (lost >= MIN_RECLAIMED_SERVERS && lost >= MIN_RECLAIMED_SHARE * countBefore) {
      state.counts = [{ servers, atMs: nowMs }];
      state.hasSpot = false;
      return lost;
    }
    if (newest === servers) state.counts.pop();
    state.counts.push({ servers, atMs: nowMs });
    return 0;
  }

  /** Records the outcome of an order of spot servers in a zone. */
  recordOrderOutcome(zone: string, outcome: OrderOutcome): void {
    const state = this.#stateOf(zone);
    switch (outcome) {
      case 'accepted':
        state.hasSpot = true;
        return;
      case 'conflict':
        state.hasSpot = false;
        return;
      case 'unknown':
        return;
    }
  }

  #stateOf(zone: string): ZoneState {
    const known = this.#zones.get(zone);
    if (known !== undefined) return known;
    const created = { counts: [], hasSpot: true };
    this.#zones.set(zone, created);
    return created;
  }
}
