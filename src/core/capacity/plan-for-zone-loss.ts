/**
 * How many servers each zone is to have so that the loss of a zone's spot servers leaves enough for the work.
 *
 * To bear the loss of one of n zones, spot servers must number n / (n - 1) of what the work needs. While that many cost
 * less than plain servers for all the work (price x n / (n - 1) below 1), nearly all servers are spot; otherwise what the
 * work needs is plain, and only the rest is spot.
 *
 * - Spot servers are spread evenly: a zone that has more is a greater loss, and each server that is added for that
 *   costs more than the cheaper zone saves. What cannot be shared evenly goes to the cheapest zones.
 * - Where a zone has none to give, the others take its share at once; its own share is still asked for.
 * - Plain servers come only where all spot servers together would not do for the work, the cheapest zones first, and
 *   go again once enough are there without them.
 */
import type { ScalingLimits } from '../gateway/index.js';
import { clampToLimits } from './clamp-to-limits.js';
import type { ZoneCapacity } from './plan-capacity.js';

/** A zone's servers, and what is known of more. */
export interface ZoneSupply extends ZoneCapacity {
  /** Servers under order or booting, of both kinds. */
  readonly coming: number;
  /** Whether spot servers are to be had there, as far as is known. */
  readonly hasSpot: boolean;
}

/** What the plan is made from. */
export interface ZoneLossPlanInput {
  readonly limits: ScalingLimits;
  readonly zones: readonly ZoneSupply[];
  /** Servers that each zone was given by whoever set the deployment up, whatever their kind. */
  readonly initialPerZone: number;
  /** Servers with which work that comes unevenly still finds one free. */
  readonly neededTotal: number;
}

/** What each zone is to have, and what that was decided from. */
export interface ZoneLossPlan {
  readonly targets: readonly ZoneCapacity[];
  /** Servers that there are to be, the spare ones counted. */
  readonly wantedTotal: number;
}

/** A zone's share of something, changed while it is dealt out. */
interface Share {
  readonly zone: string;
  readonly price: number;
  readonly most: number;
  count: number;
}

/** One that reads and one that generates stay whatever is taken away, so that no work stops altogether. */
const PLAIN_KEPT = 2;
/** Spot servers that are asked for in any case where there were none. */
const SPOT_ASKED = 2;
/** Callers that repeat count as more work: beyond this part of what was given, the demand is not believed. */
const MOST_GROWTH = 1.5;
/** More is ordered by steps of this part, so that a demand that swings does not bring an order each time. */
const GROWTH_STEP = 0.1;

/** Rounding errors of products are not rounded up to a whole server. */
const ROUNDING = 1e-9;

/** What each zone is to have. */
export function planForZoneLoss(input: ZoneLossPlanInput): ZoneLossPlan {
  const { limits, zones } = input;
  const wantedTotal = wantedServers(input);
  const kept = plainKept(input, wantedTotal);
  const spot = spotTargets(input, wantedTotal - sumOf(kept), kept);
  // Beyond what was given only cheap servers are ordered.
  const neededTotal = Math.min(input.neededTotal, givenInAll(input));
  const covered = sumOf(kept) + zones.reduce((sum, now) => sum + expectedSpot(now, spot), 0);
  const room = (now: ZoneSupply) =>
    limits.max - (kept.get(now.zone) ?? 0) - roomForSpot(now, spot.get(now.zone) ?? 0);
  const extra = dealToCheapest(Math.max(0, neededTotal - covered), sharesOf(input, zones, room));
  const leastOf = ({ zone }: ZoneSupply) =>
    Math.max((kept.get(zone) ?? 0) + (extra.get(zone) ?? 0), limits.min - (spot.get(zone) ?? 0));
  const least = new Map(zones.map((now) => [now.zone, leastOf(now)]));
  const plain = plainTargets(input, least);
  const targets = zones.map(({ zone }) => ({
    zone,
    plain: plain.get(zone) ?? 0,
    // The limit holds while both kinds are there.
    spot: Math.max(0, Math.min(spot.get(zone) ?? 0, limits.max - (plain.get(zone) ?? 0))),
  }));
  return { targets, wantedTotal };
}

function givenInAll({ limits, zones, initialPerZone }: ZoneLossPlanInput): number {
  return clampToLimits(initialPerZone, limits) * zones.length;
}

/** Servers there are to be: as given, or more where the work and a loss take more. */
function wantedServers({ limits, zones, initialPerZone, neededTotal }: ZoneLossPlanInput): number {
  const given = clampToLimits(initialPerZone, limits);
  const others = zones.length - 1;
  if (others < 1) return given;
  const spotNeeded = Math.max(0, neededTotal - PLAIN_KEPT);
  const withSpare = PLAIN_KEPT + (spotNeeded * zones.length) / others;
  const growth = Math.min(MOST_GROWTH, withSpare / (given * zones.length));
  const steps = Math.max(0, Math.ceil((growth - 1) / GROWTH_STEP - ROUNDING));
  const perZone = Math.ceil(given * (1 + steps * GROWTH_STEP) - ROUNDING);
  return clampToLimits(perZone, limits) * zones.length;
}

/** Plain servers that stay whatever spot servers there are: few where spot servers bear the loss of a zone. */
function plainKept(input: ZoneLossPlanInput, wantedTotal: number): ReadonlyMap<string, number> {
  const { limits, zones, neededTotal } = input;
  const sparePrice = (limits.spotPrice * zones.length) / (zones.length - 1);
  const count = sparePrice < 1 ? PLAIN_KEPT : Math.max(PLAIN_KEPT, neededTotal);
  const shares = sharesOf(input, zones, () => limits.max);
  return dealEvenly(Math.min(count, wantedTotal), shares);
}

/**
 * Evenly over the zones that have spot servers, after the least that a zone may have; the others are asked for the
 * share that they would have.
 */
function spotTargets(
  input: ZoneLossPlanInput,
  total: number,
  kept: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const { limits, zones } = input;
  const room = ({ zone, plain }: ZoneSupply) => limits.max - Math.max(plain, kept.get(zone) ?? 0);
  const sharesOfLeast = (some: readonly ZoneSupply[]) =>
    sharesOf(input, some, room).map((share) => {
      const least = Math.max(0, limits.min - (kept.get(share.zone) ?? 0));
      return { ...share, count: Math.min(share.most, least) };
    });
  const asked = dealEvenly(total, sharesOfLeast(zones));
  const open = zones.filter(({ hasSpot }) => hasSpot);
  const leftElsewhere = zones.reduce((sum, { hasSpot, spot }) => sum + (hasSpot ? 0 : spot), 0);
  const taken = dealEvenly(total - leftElsewhere, sharesOfLeast(open));
  return new Map([...asked, ...taken]);
}

/** Spot servers that there will be soon: of a zone that has none to give, those that are left. */
function expectedSpot({ zone, spot, hasSpot }: ZoneSupply, targets: ReadonlyMap<string, number>) {
  const target = targets.get(zone) ?? 0;
  return hasSpot ? target : Math.min(target, spot);
}

/** In a zone that has no spot servers, plain ones leave room for as many as show that there are some again. */
function roomForSpot({ spot, hasSpot }: ZoneSupply, target: number): number {
  return hasSpot ? target : Math.min(target, Math.max(spot, SPOT_ASKED));
}

/** Plain servers that are not to stay go, the dearest first, once as many as were given are there without them. */
function plainTargets(
  input: ZoneLossPlanInput,
  least: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const { limits, zones } = input;
  let spare = zones.reduce((sum, { plain, spot }) => sum + plain + spot, 0) - givenInAll(input);
  const dearestFirst = zones.toSorted(
    (one, other) => priceOf(limits, other.zone) - priceOf(limits, one.zone),
  );
  const targets = new Map<string, number>();
  for (const { zone, plain } of dearestFirst) {
    const target = least.get(zone) ?? 0;
    const surplus = Math.max(0, plain - target);
    const going = Math.min(surplus, Math.max(0, spare));
    // Not one by one as others come: each step would be an order.
    const gone = 2 * going >= surplus ? going : 0;
    spare -= gone;
    targets.set(zone, Math.min(limits.max, Math.max(target, plain - gone)));
  }
  return targets;
}

function sharesOf(
  { limits }: Pick<ZoneLossPlanInput, 'limits'>,
  zones: readonly ZoneSupply[],
  mostOf: (zone: ZoneSupply) => number,
): Share[] {
  return zones.map((now) => ({
    zone: now.zone,
    price: priceOf(limits, now.zone),
    most: Math.max(0, mostOf(now)),
    count: 0,
  }));
}

/** One after the other to the zone that has fewest, of these the cheapest. */
function dealEvenly(total: number, shares: Share[]): ReadonlyMap<string, number> {
  return deal(total, shares, (one, other) => one.count - other.count || one.price - other.price);
}

function dealToCheapest(total: number, shares: Share[]): ReadonlyMap<string, number> {
  return deal(total, shares, (one, other) => one.price - other.price);
}

function deal(
  total: number,
  shares: Share[],
  order: (one: Share, other: Share) => number,
): ReadonlyMap<string, number> {
  const dealt = shares.reduce((sum, { count }) => sum + count, 0);
  for (let left = total - dealt; left > 0; left -= 1) {
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
