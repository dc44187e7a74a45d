/** A service whose servers are paid by the second, and what is planned for it. */
import type { ScalingLimits } from '../gateway/index.js';
import type { ZoneCapacity } from './plan-capacity.js';

/** A service whose servers are paid by the second, as it is now. */
export interface ScaledService {
  readonly service: string;
  readonly limits: ScalingLimits;
  /** Servers that take work; those that are about to leave are not among them. */
  readonly zones: readonly ZoneCapacity[];
  /** Servers without which the service falls behind its work. */
  readonly neededTotal: number;
  /** Servers with which work that comes unevenly still finds one free. */
  readonly neededWithHeadroom: number;
}

/** What a plan that bears a loss was made from. */
export interface CapacitySummary {
  readonly service: string;
  /** Servers that the work needs, with room for its unevenness. */
  readonly needed: number;
  /** Servers that there are to be, the spare ones counted. */
  readonly wanted: number;
  readonly present: number;
  /** Under order or booting. */
  readonly coming: number;
  /** Zones that have no spot servers to give. */
  readonly zonesWithoutSpot: readonly string[];
  /** Spot servers that were seen to be taken away in this look. */
  readonly lost: number;
}

/** What each zone of a service is to have. */
export interface ServicePlan {
  readonly scaled: ScaledService;
  readonly targets: readonly ZoneCapacity[];
  /** Undefined where the plan bears no loss. */
  readonly summary: CapacitySummary | undefined;
}
