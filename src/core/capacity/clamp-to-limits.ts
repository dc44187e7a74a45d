/** Limits on the number of servers of a zone. */
import type { ScalingLimits } from '../gateway/index.js';

/** Clamps a zone's number of servers, of both kinds together, to its limits. */
export function clampToLimits(servers: number, { min, max }: ScalingLimits): number {
  return Math.min(max, Math.max(min, servers));
}
