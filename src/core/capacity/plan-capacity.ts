/**
 * How many servers each zone is to have, where they are paid by the second. Spot servers cost a part of the others
 * and may be taken away, all of a zone at once; so every zone keeps some that are not, and the rest is spot as far
 * as it is to be had. Plain servers go as spot servers come. Those that are taken away are made up by plain ones
 * only where the service would be short of its need: they are to be had again in seconds, and engines that come
 * and go have to read their prompts again.
 */
import type { ScalingLimits } from '../gateway/index.js';
import { clampToLimits } from './clamp-to-limits.js';

/** Servers of a zone, by kind: those that take work, or those that it is to have. */
export interface ZoneCapacity {
  readonly zone: string;
  readonly plain: number;
  readonly spot: number;
}

/** What the plan is made from. */
export interface CapacityInput {
  readonly limits: ScalingLimits;
  readonly zones: readonly ZoneCapacity[];
  /** Servers that each zone is to have, whatever their kind. */
  readonly wantedPerZone: number;
  /** Servers without which the service falls behind its work. */
  readonly neededTotal: number;
}

/** Plain servers that a zone keeps beside its spot servers, so that it is never without any. */
const PLAIN_KEPT = 1;

/** What each zone is to have. */
export function planCapacity({
  limits,
  zones,
  wantedPerZone,
  neededTotal,
}: CapacityInput): readonly ZoneCapacity[] {
  const wanted = clampToLimits(wantedPerZone, limits);
  if (limits.spotPrice >= 1) return zones.map(({ zone }) => ({ zone, plain: wanted, spot: 0 }));
  const kept = Math.min(wanted, PLAIN_KEPT);
  const spotWanted = wanted - kept;
  const isShort = serversOf(zones) < neededTotal;
  return zones.map(({ zone, plain, spot }) => {
    const missing = Math.max(0, wanted - kept - spot);
    const spare = Math.max(0, plain - kept);
    const target = kept + (isShort ? missing : Math.min(missing, spare));
    // The limit holds while both kinds are there.
    return { zone, plain: target, spot: Math.min(spotWanted, limits.max - target) };
  });
}

function serversOf(zones: readonly ZoneCapacity[]): number {
  return zones.reduce((sum, { plain, spot }) => sum + plain + spot, 0);
}
