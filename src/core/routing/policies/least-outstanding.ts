/**
 * Least outstanding: the engine with the fewest expected active requests. Suffers from herding on
 * stale reports: every daemon sends to the same engine until the next report.
 */
import type { EngineEntry } from '../engine-entry.js';
import type { RoutingPolicy } from '../policy.js';

/** Creates a least-outstanding policy. */
export function leastOutstanding(): RoutingPolicy {
  return {
    name: 'least-outstanding',
    choose(pool) {
      let best: EngineEntry | null = null;
      let bestActive = Number.POSITIVE_INFINITY;
      const size = pool.all.length;
      const start = pool.draws.below(size);
      for (let step = 0; step < size; step += 1) {
        const entry = pool.all[(start + step) % size];
        if (entry === undefined || !pool.isEligible(entry)) {
          continue;
        }
        const active = pool.expectedActive(entry);
        if (active < bestActive) {
          best = entry;
          bestActive = active;
        }
      }
      return best;
    },
  };
}
