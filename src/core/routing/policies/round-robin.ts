/** Round robin: each eligible engine in turn. Ignores load; the simplest baseline. */
import { firstEligibleFrom, type RoutingPolicy } from '../policy.js';

/** Creates a round-robin policy with its own cursor. */
export function roundRobin(): RoutingPolicy {
  let cursor = 0;
  return {
    name: 'round-robin',
    choose(pool) {
      const size = pool.all.length;
      if (size === 0) {
        return null;
      }
      const entry = firstEligibleFrom(pool, cursor % size);
      cursor = entry === null ? cursor : pool.all.indexOf(entry) + 1;
      return entry;
    },
  };
}
