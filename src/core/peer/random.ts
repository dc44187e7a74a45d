/**
 * Derives several random numbers from the one that a step receives. A step that needs more than one
 * seeds a generator with `context.entropy`; the same entropy gives the same sequence.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xorshift128plus } from 'pure-rand/generator/xorshift128plus';

/** The random generator of one step, not kept beyond it. */
export class StepRandom {
  private readonly generator;

  constructor(entropy: number) {
    this.generator = xorshift128plus(entropy);
  }

  /** An integer from 0 (inclusive) to `limit` (exclusive), which must be positive. */
  below(limit: number): number {
    return uniformInt(this.generator, 0, limit - 1);
  }

  /** A copy of the array in random order (Fisher-Yates). */
  shuffled<Item>(items: readonly Item[]): Item[] {
    const result = [...items];
    for (let last = result.length - 1; last > 0; last -= 1) {
      const other = this.below(last + 1);
      const moved = result[last] as Item;
      result[last] = result[other] as Item;
      result[other] = moved;
    }
    return result;
  }

  /** At most `count` different items in random order. */
  sample<Item>(items: readonly Item[], count: number): Item[] {
    return this.shuffled(items).slice(0, count);
  }

  /** One of the items, or undefined when there are none. */
  pick<Item>(items: readonly Item[]): Item | undefined {
    return items.length === 0 ? undefined : items[this.below(items.length)];
  }
}
