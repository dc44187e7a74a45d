/**
 * Whether cache news that daemons pass on to each other is worth its time. An entry costs whoever takes it processor
 * time; it saves engines the reading of tokens where a plan comes to rely on it. Which is more differs by what is
 * asked: parts that live long in caches against those that are gone before the next request. Each daemon measures it on
 * what it is told itself, which is much the same in a zone, and passes its own news on or not.
 */

/** The measure is taken over this time: a few hundred entries, and as many requests as decide it where it matters. */
const SPAN_MS = 4_000;
/** What is left of the sums when a span is over. */
const KEPT_SHARE = 0.5;
/** So many entries tell whether they come to use. */
const LEAST_ENTRIES = 100;
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
    if (this.#entries >= LEAST_ENTRIES) {
      this.#isWorth = this.#savedMs >= this.#entries * ENTRY_COST_MS;
    }
    this.#entries *= KEPT_SHARE;
    this.#savedMs *= KEPT_SHARE;
  }
}
