/** The cache events that an engine publishes: delayed, some lost, and only the last 4,096. */
import type { CacheChange } from './prefix-cache.js';

const MAX_EVENTS = 4_096;
/** Old events are dropped in batches of this size, to keep an append cheap. */
const TRIM_EVENTS = 1_024;

/** A published event. The numbers have gaps where events were lost. */
export interface CacheEvent extends CacheChange {
  readonly n: number;
}

/** The answer of `GET /control/cache-events`. */
export interface CacheEventPage {
  readonly events: readonly CacheEvent[];
  /** The number of the newest visible event; the `after` of the next request. */
  readonly last: number;
}

interface StoredEvent extends CacheEvent {
  readonly visibleAt: number;
  readonly lost: boolean;
}

/** Options of the log. `draw` gives numbers in [0, 1). */
export interface CacheEventLogOptions {
  readonly delayMs: number;
  readonly loss: number;
  readonly draw: () => number;
}

/** Records cache changes and makes each visible after its delay, in order. */
export class CacheEventLog {
  readonly #options: CacheEventLogOptions;
  #events: StoredEvent[] = [];
  #last = 0;
  #latestVisibleAt = 0;

  constructor(options: CacheEventLogOptions) {
    this.#options = options;
  }

  /** Records changes made at `now`. */
  append(now: number, changes: readonly CacheChange[]): void {
    for (const change of changes) this.#appendOne(now, change);
    if (this.#events.length > MAX_EVENTS + TRIM_EVENTS) {
      this.#events = this.#events.slice(-MAX_EVENTS);
    }
  }

  /** The events after number `after` that are visible by `now`. */
  read(now: number, after: number): CacheEventPage {
    const visible = this.#events.slice(-MAX_EVENTS).filter((event) => event.visibleAt <= now);
    const events = visible
      .filter((event) => event.n > after && !event.lost)
      .map(({ n, kind, hash }) => ({ n, kind, hash }));
    return { events, last: visible.at(-1)?.n ?? 0 };
  }

  #appendOne(now: number, change: CacheChange): void {
    this.#last += 1;
    const delay = this.#options.delayMs * (0.5 + this.#options.draw());
    this.#latestVisibleAt = Math.max(this.#latestVisibleAt, now + delay);
    this.#events.push({
      ...change,
      n: this.#last,
      visibleAt: this.#latestVisibleAt,
      lost: this.#options.draw() < this.#options.loss,
    });
  }
}
