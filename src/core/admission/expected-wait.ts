/** How long a request offered now would wait for its turn. */
import type { TenantName } from '../common/identifiers.js';
import type { Milliseconds } from '../common/time.js';
import type { FairQueue } from './fair-queue.js';
import type { Lane } from './lane.js';

/** What an estimate is made from. */
export interface WaitInput {
  readonly lane: Pick<Lane, 'costOfHigherPriority' | 'rate' | 'size'>;
  readonly queue: Pick<FairQueue, 'activeWeight' | 'cost' | 'costOf'>;
  readonly priority: number;
  readonly tenant: TenantName;
  readonly weight: number;
}

/** An estimate of the wait. All null before the lane's speed is known. */
export interface WaitEstimate {
  /** The wait of this request. */
  readonly waitMs: Milliseconds | null;
  /** The wait of a request of the same class by a tenant that has nothing waiting. */
  readonly idleTenantWaitMs: Milliseconds | null;
}

/**
 * Estimates the wait: classes of a higher priority go first; within the class, by fair queueing, a
 * tenant waits for its own earlier requests and for the others' part of the time that these take,
 * but never for more than waits in the class altogether.
 */
export function estimateWait(input: WaitInput): WaitEstimate {
  const { lane, queue, priority, tenant, weight } = input;
  const perMs = lane.rate.perMs;
  if (perMs === null || lane.size === 0) {
    const unknown = lane.size === 0 ? 0 : null;
    return { waitMs: unknown, idleTenantWaitMs: unknown };
  }
  const above = lane.costOfHigherPriority(priority);
  const own = queue.costOf(tenant);
  const othersWeight = queue.activeWeight + (own > 0 ? 0 : weight);
  const ahead = Math.min(queue.cost, (own * othersWeight) / weight);
  return { waitMs: duration(above + ahead, perMs), idleTenantWaitMs: duration(above, perMs) };
}

function duration(cost: number, perMs: number): Milliseconds {
  return cost <= 0 ? 0 : cost / perMs;
}
