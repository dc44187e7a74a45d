/**
 * Plans how many servers each zone should have so that enough remain for the work after the loss of all spot servers of
 * one zone.
 *
 * To survive the loss of one of n zones, there must be n / (n - 1) times as many spot servers as the work needs. While
 * these cost less than plain servers for all the work (price x n / (n - 1) below 1), nearly all servers are spot.
 * Otherwise the servers that the work needs are plain, and only the rest are spot.
 *
 * - Spot servers are distributed evenly: a zone with more servers is a greater loss, and the servers added to make up
 *   for that cost more than a cheaper zone saves. The remainder goes to the cheapest zones.
 * - If a zone has no spot servers available, the other zones get its share at once; its own share is still ordered.
 * - Plain servers are added only when all spot servers together are too few for the work, in the cheapest zones first,
 *   and are removed once there are enough servers without them.
 */
import type { ScalingLimits } from '../gateway/index.js';
import { clampToLimits } from './clamp-to-limits.js';
import type { ZoneCapacity } from './plan-capacity.js';

/** A zone's servers, the servers on their way, and whether spot servers are available. */
export interface ZoneSupply extends ZoneCapacity {
  /** Servers of both kinds that are ordered or booting. */
  readonly coming: number;
  /** Whether spot servers are available in the zone, as far as is known. */
  readonly hasSpot: boolean;
}

export interface ZoneLossPlanInput {
  readonly limits: ScalingLimits;
  readonly zones: readonly ZoneSupply[];
  /** The number of servers, of both kinds, that each zone had when the deployment was set up. */
  readonly initialPerZone: number;
  /** The number of servers with which a free one is found even when work arrives unevenly. */
  readonly neededTotal: number;
}

/** The target of each zone, and the total. */
export interface ZoneLossPlan {
  readonly targets: readonly ZoneCapacity[];
  /** The total number of servers wanted, including spares. */
  readonly wantedTotal: number;
}

/** A zone's share of the servers being distributed; `count` grows up to `most`. */
interface Share {
  readonly zone: string;
  readonly price: number;
  readonly most: number;
  count: number;
}

/** One prefill and one decode server stay when all spot servers are reclaimed, so that work does not stop entirely. */
const MIN_PLAIN_TOTAL = 2;
/** Room kept in a zone without available spot servers, for an order that shows whether there are some again. */
const MIN_SPOT_REQUEST = 2;
/** Retries of callers inflate the measured demand, so growth is limited to this multiple of the initial servers. */
const MAX_GROWTH = 1.5;
/** Growth is rounded up to steps of this share, so that fluctuating demand does not cause an order each time. */
const GROWTH_STEP = 0.1;

/** Keeps floating-point errors of products from being rounded up to another server. */
const ROUNDING_TOLERANCE = 1e-9;

/** Computes the target of each zone. */
export function planForZoneLoss(input: ZoneLossPlanInput): ZoneLossPlan {
  const { limits, zones } = input;
  const wantedTotal = wantedServers(input);
  const kept = keptPlain(input, wantedTotal);
  const spot = spotTargets(input, wantedTotal - sumOf(kept), kept);
  // Beyond the initial number of servers, only spot servers are ordered.
  const neededTotal = Math.min(input.neededTotal, initialTotal(input));
  const covered = sumOf(kept) + zones.reduce((sum, supply) => sum + expectedSpot(supply, spot), 0);
  const plainLimit = (supply: ZoneSupply) =>
    limits.max - (kept.get(supply.zone) ?? 0) - reservedForSpot(supply, spot.get(supply.zone) ?? 0);
  const extra = distributeToCheapest(
    Math.max(0, neededTotal - covered),
    sharesOf(input, zones, plainLimit),
  );
  const minPlainOf = ({ zone }: ZoneSupply) =>
    Math.max((kept.get(zone) ?? 0) + (extra.get(zone) ?? 0), limits.min - (spot.get(zone) ?? 0));
  const minPlain = new Map(zones.map((supply) => [supply.zone, minPlainOf(supply)]));
  const plain = plainTargets(input, minPlain);
  const targets = zones.map(({ zone }) => ({
    zone,
    plain: plain.get(zone) ?? 0,
    // The limit applies to both kinds together while plain servers are being replaced.
    spot: Math.max(0, Math.min(spot.get(zone) ?? 0, limits.max - (plain.get(zone) ?? 0))),
  }));
  return { targets, wantedTotal };
}

function initialTotal({ limits, zones, initialPerZone }: ZoneLossPlanInput): number {
  return clampToLimits(initialPerZone, limits) * zones.length;
}

/** The total number of servers wanted: the initial number, or more if the work needs more to survive a zone loss. */
function wantedServers({ limits, zones, initialPerZone, neededTotal }: ZoneLossPlanInput): number {
  const initial = clampToLimits(initialPerZone, limits);
  const others = zones.length - 1;
  if (others < 1) return initial;
  const spotNeeded = Math.max(0, neededTotal - MIN_PLAIN_TOTAL);
  const withSpare = MIN_PLAIN_TOTAL + (spotNeeded * zones.length) / others;
  const growth = Math.min(MAX_GROWTH, withSpare / (initial * zones.length));
  const steps = Math.max(0, Math.ceil((growth - 1) / GROWTH_STEP - ROUNDING_TOLERANCE));
  const perZone = Math.ceil(initial * (1 + steps * GROWTH_STEP) - ROUNDING_TOLERANCE);
  return clampToLimits(perZone, limits) * zones.length;
}

/** Plain servers kept per zone regardless of spot servers: few if spot servers are cheaper for surviving a loss. */
function keptPlain(input: ZoneLossPlanInput, wantedTotal: number): ReadonlyMap<string, number> {
  const { limits, zones, neededTotal } = input;
  const sparePrice = (limits.spotPrice * zones.length) / (zones.length - 1);
  const count = sparePrice < 1 ? MIN_PLAIN_TOTAL : Math.max(MIN_PLAIN_TOTAL, neededTotal);
  const shares = sharesOf(input, zones, () => limits.max);
  return distributeEvenly(Math.min(count, wantedTotal), shares);
}

/**
 * The spot target of each zone: first the minimum of each zone, then distributed evenly over the zones that have spot
 * servers available. For zones without, the target is the share that they would have if spot servers were available.
 */
function spotTargets(
  input: ZoneLossPlanInput,
  total: number,
  kept: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const { limits, zones } = input;
  const spotLimit = ({ zone, plain }: ZoneSupply) =>
    limits.max - Math.max(plain, kept.get(zone) ?? 0);
  const sharesWithMinimum = (some: readonly ZoneSupply[]) =>
    sharesOf(input, some, spotLimit).map((share) => {
      const minSpot = Math.max(0, limits.min - (kept.get(share.zone) ?? 0));
      return { ...share, count: Math.min(share.most, minSpot) };
    });
  const evenTargets = distributeEvenly(total, sharesWithMinimum(zones));
  const zonesWithSpot = zones.filter(({ hasSpot }) => hasSpot);
  const remainingElsewhere = zones.reduce(
    (sum, { hasSpot, spot }) => sum + (hasSpot ? 0 : spot),
    0,
  );
  const availableTargets = distributeEvenly(
    total - remainingElsewhere,
    sharesWithMinimum(zonesWithSpot),
  );
  return new Map([...evenTargets, ...availableTargets]);
}

/** Spot servers expected soon; in a zone without available spot servers, only those still present. */
function expectedSpot({ zone, spot, hasSpot }: ZoneSupply, targets: ReadonlyMap<string, number>) {
  const target = targets.get(zone) ?? 0;
  return hasSpot ? target : Math.min(target, spot);
}

/**
 * Servers of a zone's limit that are reserved for spot servers. Without available spot servers, plain servers leave
 * enough of the limit free for an order that shows when spot servers are available again.
 */
function reservedForSpot({ spot, hasSpot }: ZoneSupply, target: number): number {
  return hasSpot ? target : Math.min(target, Math.max(spot, MIN_SPOT_REQUEST));
}

/** Removes surplus plain servers, the most expensive first, once the initial number of servers exists without them. */
function plainTargets(
  input: ZoneLossPlanInput,
  minPlain: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const { limits, zones } = input;
  let spare = zones.reduce((sum, { plain, spot }) => sum + plain + spot, 0) - initialTotal(input);
  const mostExpensiveFirst = zones.toSorted(
    (one, other) => priceOf(limits, other.zone) - priceOf(limits, one.zone),
  );
  const targets = new Map<string, number>();
  for (const { zone, plain } of mostExpensiveFirst) {
    const target = minPlain.get(zone) ?? 0;
    const surplus = Math.max(0, plain - target);
    const removable = Math.min(surplus, Math.max(0, spare));
    // Not one by one as spot servers come, as each step would be an order.
    const removed = 2 * removable >= surplus ? removable : 0;
    spare -= removed;
    targets.set(zone, Math.min(limits.max, Math.max(target, plain - removed)));
  }
  return targets;
}

function sharesOf(
  { limits }: Pick<ZoneLossPlanInput, 'limits'>,
  zones: readonly ZoneSupply[],
  maxOf: (zone: ZoneSupply) => number,
): Share[] {
  return zones.map((supply) => ({
    zone: supply.zone,
    price: priceOf(limits, supply.zone),
    most: Math.max(0, maxOf(supply)),
    count: 0,
  }));
}

/** Adds servers one by one to the zone with the fewest; among equals, to the cheapest. */
function distributeEvenly(total: number, shares: Share[]): ReadonlyMap<string, number> {
  return distribute(
    total,
    shares,
    (one, other) => one.count - other.count || one.price - other.price,
  );
}

function distributeToCheapest(total: number, shares: Share[]): ReadonlyMap<string, number> {
  return distribute(total, shares, (one, other) => one.price - other.price);
}

function distribute(
  total: number,
  shares: Share[],
  order: (one: Share, other: Share) => number,
): ReadonlyMap<string, number> {
  const distributed = shares.reduce((sum, { count }) => sum + count, 0);
  for (let left = total - distributed; left > 0; left -= 1) {
    const next = shares.filter(({ count, most }) => count < most).toSorted(order)[0];
    if (next === undefined) break;
    next.count += 1;
  }
  return new Map(shares.map(({ zone, count }) => [zone, count]));
}

function priceOf({ zonePrices }: ScalingLimits, zone: string): number {
  return zonePrices.get(zone) ?? 1;
}

function sumOf(counts: ReadonlyMap<string, number>): number {
  return [...counts.values()].reduce((sum, count) => sum + count, 0);
}
