/**
 * Power of two choices: of two engines drawn at random, the one with fewer requests (Mitzenmacher
 * 2001). Robust to stale reports because different daemons draw different pairs.
 */
import type { EngineEntry } from '../engine-entry.js';
import {
  type CandidatePool,
  drawEligible,
  firstEligibleFrom,
  type RoutingPolicy,
} from '../policy.js';

/** Creates a power-of-two policy. */
export function powerOfTwo(): RoutingPolicy {
  return { name: 'power-of-two', choose };
}

function choose(pool: CandidatePool): EngineEntry | null {
  if (pool.all.length === 0) {
    return null;
  }
  const first = drawEligible(pool, pool.all);
  const second = drawEligible(pool, pool.all);
  if (first === null || second === null) {
    return first ?? second ?? firstEligibleFrom(pool, pool.draws.below(pool.all.length));
  }
  return pool.expectedActive(second) < pool.expectedActive(first) ? second : first;
}
