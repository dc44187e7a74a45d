/**
 * When a relay tells how far it has seen the store's tables change: at once when one has changed, and now
 * and then as a sign of life; other zones need only the sign of life, and more seldom.
 */

/** Where a relay has seen each table change last, and how old its newest look at the store is. */
export interface TableWordMessage {
  readonly configurations: number;
  readonly servers: number;
  readonly ageMs: number;
}

/** Who is told. */
export type WordAudience = 'nobody' | 'zone' | 'everyone';

const GAP_MS = 400;
/**
 * The first time and each so-many-th one everyone is told. Only relays need to know the relays of other
 * zones, and those hear each other's sums; this is for a daemon that has just become one.
 */
const TIMES_FOR_EVERYONE = 9;

/** A relay's memory of what it has told. */
export class WordToTell {
  #told: TableWordMessage | undefined;
  #toldAtMs = Number.NEGATIVE_INFINITY;
  #times = 0;

  /** Who is to be told now; it counts as told from here on. */
  next(word: TableWordMessage, nowMs: number): WordAudience {
    if (!this.#isNews(word) && nowMs - this.#toldAtMs < GAP_MS) return 'nobody';
    this.#told = word;
    this.#toldAtMs = nowMs;
    this.#times += 1;
    return this.#times % TIMES_FOR_EVERYONE === 1 ? 'everyone' : 'zone';
  }

  #isNews(word: TableWordMessage): boolean {
    const told = this.#told;
    if (told === undefined) return true;
    return word.configurations > told.configurations || word.servers > told.servers;
  }
}
