/** A service whose servers are billed per second, and the plan for it. */
import type { ScalingLimits } from '../gateway/index.js';
import type { ZoneCapacity } from './plan-capacity.js';

/** The current state of a service whose servers are billed per second. */
export interface ScaledService {
  readonly service: string;
  readonly limits: ScalingLimits;
  /** Servers that accept work, without those that are about to stop. */
  readonly zones: readonly ZoneCapacity[];
  /** The minimum number of servers with which the service keeps up with its work. */
  readonly neededTotal: number;
  /** The number of servers with which a free one is found even when work arrives unevenly. */
  readonly neededWithHeadroom: number;
}

/** The figures behind a plan that tolerates the loss of a zone. */
export interface CapacitySummary {
  readonly service: string;
  /** Servers that the work needs, with headroom for uneven arrivals. */
  readonly needed: number;
  /** The total number of servers wanted, including spares. */
  readonly wanted: number;
  readonly present: number;
  /** Servers that are ordered or booting. */
  readonly coming: number;
  /** Zones without available spot servers. */
  readonly zonesWithoutSpot: readonly string[];
  /** Spot servers that were found to be reclaimed when this plan was made. */
  readonly lost: number;
}

/** The targets of a service's zones. */
export interface ServicePlan {
  readonly scaled: ScaledService;
  readonly targets: readonly ZoneCapacity[];
  /** Undefined if the plan does not tolerate the loss of a zone. */
  readonly summary: CapacitySummary | undefined;
}
