/** How many servers a zone may have. */
import type { ScalingLimits } from '../gateway/index.js';

/** The number nearest to it that a zone may have, of both kinds together. */
export function clampToLimits(servers: number, { min, max }: ScalingLimits): number {
  return Math.min(max, Math.max(min, servers));
}
