/** Random: every eligible engine with equal probability. Ignores load, and cannot herd. */
import { drawEligible, firstEligibleFrom, type RoutingPolicy } from '../policy.js';

/** Creates a random policy. */
export function random(): RoutingPolicy {
  return {
    name: 'random',
    choose(pool) {
      if (pool.all.length === 0) {
        return null;
      }
      return (
        drawEligible(pool, pool.all) ?? firstEligibleFrom(pool, pool.draws.below(pool.all.length))
      );
    },
  };
}
