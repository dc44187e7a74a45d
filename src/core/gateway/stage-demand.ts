/**
 * How much work of each kind a service's engines are asked for, as this daemon sees it: time of
 * engines that only read, and time of engines that generate.
 */

/** The work of a request, in time of a whole engine. */
export interface RequestWork {
  readonly prefillMs: number;
  readonly decodeMs: number;
}

/** What a request asks to be read. */
export type WorkSource = 'long-prompt' | 'short-prompt';

interface TimedWork extends RequestWork {
  readonly source: WorkSource;
  readonly atMs: number;
}

/** Work of a span of time. */
export interface DemandSums extends RequestWork {
  readonly requests: number;
  /** Requests without a long prompt to read. */
  readonly shortRequests: number;
}

/** Work over the newest span of time. */
export class StageDemand {
  readonly #spanMs: number;
  #entries: TimedWork[] = [];

  constructor(spanMs: number) {
    this.#spanMs = spanMs;
  }

  note(source: WorkSource, work: RequestWork, nowMs: number): void {
    this.#entries.push({ ...work, source, atMs: nowMs });
  }

  /** The sums over the span, and how many requests they are made of. */
  sums(nowMs: number): DemandSums {
    this.#entries = this.#entries.filter((entry) => entry.atMs > nowMs - this.#spanMs);
    let prefillMs = 0;
    let decodeMs = 0;
    let shortRequests = 0;
    for (const entry of this.#entries) {
      prefillMs += entry.prefillMs;
      decodeMs += entry.decodeMs;
      if (entry.source === 'short-prompt') shortRequests += 1;
    }
    return { prefillMs, decodeMs, requests: this.#entries.length, shortRequests };
  }
}
