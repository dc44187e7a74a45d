/** Draws token counts. */
import type { Distribution } from './definition.js';
import type { Random } from './random.js';

/** Draws an integer within the bounds of the distribution. */
export function draw(distribution: Distribution, random: Random): number {
  switch (distribution.kind) {
    case 'fixed':
      return distribution.value;
    case 'uniform':
      return random.integer(distribution.low, distribution.high);
    case 'lognormal': {
      const { median, sigma, low, high } = distribution;
      const value = Math.round(median * Math.exp(sigma * random.normal()));
      return Math.min(high, Math.max(low, value));
    }
  }
}
