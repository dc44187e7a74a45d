/**
 * Plans how many servers each zone should have of a service that is billed per second. Spot servers cost a fraction of
 * plain (on-demand) servers, but the platform may reclaim all spot servers of a zone at once. So every zone keeps some
 * plain servers, and the rest are spot as far as available. Plain servers are removed as spot servers come. Reclaimed
 * spot servers are replaced by plain ones only if the service would otherwise be short of servers: spot servers are
 * usually available again within seconds, and replacement engines have to process cached prompts again.
 */
import type { ScalingLimits } from '../gateway/index.js';
import { clampToLimits } from './clamp-to-limits.js';

/** The servers of a zone by kind: those that accept work, or the targets. `plain` servers are on-demand servers. */
export interface ZoneCapacity {
  readonly zone: string;
  readonly plain: number;
  readonly spot: number;
}

export interface CapacityInput {
  readonly limits: ScalingLimits;
  readonly zones: readonly ZoneCapacity[];
  /** The number of servers that each zone should have, of both kinds together. */
  readonly wantedPerZone: number;
  /** The minimum number of servers with which the service keeps up with its work. */
  readonly neededTotal: number;
}

/** Plain servers that each zone keeps, so that it has a server when its spot servers are reclaimed. */
const MIN_PLAIN_PER_ZONE = 1;

/** Computes the target of each zone. */
export function planCapacity({
  limits,
  zones,
  wantedPerZone,
  neededTotal,
}: CapacityInput): readonly ZoneCapacity[] {
  const wanted = clampToLimits(wantedPerZone, limits);
  if (limits.spotPrice >= 1) return zones.map(({ zone }) => ({ zone, plain: wanted, spot: 0 }));
  const minPlain = Math.min(wanted, MIN_PLAIN_PER_ZONE);
  const spotWanted = wanted - minPlain;
  const isShort = serversOf(zones) < neededTotal;
  return zones.map(({ zone, plain, spot }) => {
    const missing = Math.max(0, wanted - minPlain - spot);
    const spare = Math.max(0, plain - minPlain);
    const target = minPlain + (isShort ? missing : Math.min(missing, spare));
    // The limit applies to both kinds together while plain servers are being replaced.
    return { zone, plain: target, spot: Math.min(spotWanted, limits.max - target) };
  });
}

function serversOf(zones: readonly ZoneCapacity[]): number {
  return zones.reduce((sum, { plain, spot }) => sum + plain + spot, 0);
}
