/**
 * Whether cache news that daemons pass on to each other is worth its time. An entry costs whoever takes it processor
 * time; it saves engines the reading of tokens where a plan comes to rely on it. Which is more differs by what is
 * asked: parts that live long in caches against those that are gone before the next request. Each daemon measures it on
 * what it is told itself, which is much the same in a zone, and passes its own news on or not.
 */

/**
 * The measure is taken over this time. A daemon of a large fleet has a request for a large part each second or two; over
 * less than ten of them, chance alone makes news look worthless (with 4 s it did, and shared parts were read again).
 */
const SPAN_MS = 10_000;
/** What is left of the sums when a span is over. */
const KEPT_SHARE = 0.5;
/** So many entries tell that they do not come to use; those that are passed on all the same tell it of fewer. */
const LEAST_ENTRIES = 500;
const LEAST_PROBED_ENTRIES = 20;
/** News is held back only where it saves less than this part of what it costs. */
const HELD_BACK_SHARE = 0.5;
/**
 * Time of a daemon for an entry: a datagram of ten took 0.25 ms of processor time to send and to take, on machines
 * that give a daemon a third of a core.
 */
const ENTRY_COST_MS = 0.08;
/** News that is not worth it is passed on one time in so many, as others measure by it too. */
const PROBE_EACH = 10;

/** One daemon's measure of what it is told. */
export class NewsWorth {
  #entries = 0;
  #savedMs = 0;
  #sinceMs = 0;
  #isWorth = true;
  #heldBack = 0;

  /** Whether it is worth its time, as far as is known. */
  get isWorth(): boolean {
    return this.#isWorth;
  }

  /** Entries were told by another daemon. @returns whether what news is worth is judged otherwise now */
  noteEntries(entries: number, nowMs: number): boolean {
    const before = this.#isWorth;
    this.#entries += entries;
    this.#judge(nowMs);
    return this.#isWorth !== before;
  }

  /** A plan relies on what was told, which saves so much reading. */
  noteSaved(readMs: number): void {
    this.#savedMs += readMs;
  }

  /** Whether news is to be passed on now; asked once for each time that it would be. */
  mayPassOn(): boolean {
    if (this.#isWorth) return true;
    this.#heldBack = (this.#heldBack + 1) % PROBE_EACH;
    return this.#heldBack === 0;
  }

  #judge(nowMs: number): void {
    if (nowMs - this.#sinceMs < SPAN_MS) return;
    this.#sinceMs = nowMs;
    const costMs = this.#entries * ENTRY_COST_MS;
    if (this.#isWorth) {
      const isKnown = this.#entries >= LEAST_ENTRIES;
      if (isKnown && this.#savedMs < HELD_BACK_SHARE * costMs) this.#isWorth = false;
    } else if (this.#entries >= LEAST_PROBED_ENTRIES && this.#savedMs >= costMs) {
      this.#isWorth = true;
    }
    this.#entries *= KEPT_SHARE;
    this.#savedMs *= KEPT_SHARE;
  }
}
