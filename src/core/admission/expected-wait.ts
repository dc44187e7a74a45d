/** Estimates how long a request offered now would wait before it is dispatched. */
import type { TenantName } from '../common/identifiers.js';
import type { Milliseconds } from '../common/time.js';
import type { FairQueue } from './fair-queue.js';
import type { Lane } from './lane.js';

/** The input of an estimate. */
export interface WaitInput {
  readonly lane: Pick<Lane, 'costOfHigherPriority' | 'rate' | 'size'>;
  readonly queue: Pick<FairQueue, 'activeWeight' | 'cost' | 'costOf'>;
  readonly priority: number;
  readonly tenant: TenantName;
  readonly weight: number;
}

/** An estimate of the wait. All fields are null before the lane's drain rate is known. */
export interface WaitEstimate {
  /** The expected wait of this request. */
  readonly waitMs: Milliseconds | null;
  /** The expected wait of a request of the same class by a tenant that has no requests waiting. */
  readonly idleTenantWaitMs: Milliseconds | null;
}

/**
 * Estimates the wait of a request. All waiting requests of higher-priority classes are dispatched first. Within the
 * class, by fair queueing, a request waits for its tenant's earlier requests and for the cost that other tenants
 * are served in the same time, but never for more than the total cost waiting in the class.
 */
export function estimateWait(input: WaitInput): WaitEstimate {
  const { lane, queue, priority, tenant, weight } = input;
  const perMs = lane.rate.perMs;
  if (perMs === null || lane.size === 0) {
    const unknown = lane.size === 0 ? 0 : null;
    return { waitMs: unknown, idleTenantWaitMs: unknown };
  }
  const higherPriorityCost = lane.costOfHigherPriority(priority);
  const ownCost = queue.costOf(tenant);
  const othersWeight = queue.activeWeight + (ownCost > 0 ? 0 : weight);
  const costAhead = Math.min(queue.cost, (ownCost * othersWeight) / weight);
  return {
    waitMs: duration(higherPriorityCost + costAhead, perMs),
    idleTenantWaitMs: duration(higherPriorityCost, perMs),
  };
}

function duration(cost: number, perMs: number): Milliseconds {
  return cost <= 0 ? 0 : cost / perMs;
}
