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

/** A service's demand as one daemon, or a zone, sees it over the newest span of time. */
export interface ServiceDemand extends DemandSums {
  readonly service: string;
}

/** Sums of demands, by service. */
export function addDemands(demands: readonly ServiceDemand[]): readonly ServiceDemand[] {
  const totals = new Map<string, ServiceDemand>();
  for (const demand of demands) {
    const known = totals.get(demand.service);
    totals.set(demand.service, known === undefined ? demand : sumOf(known, demand));
  }
  return [...totals.values()];
}

function sumOf(first: ServiceDemand, second: ServiceDemand): ServiceDemand {
  return {
    service: first.service,
    prefillMs: first.prefillMs + second.prefillMs,
    decodeMs: first.decodeMs + second.decodeMs,
    requests: first.requests + second.requests,
    shortRequests: first.shortRequests + second.shortRequests,
  };
}

/** Work over the newest span of time, its sums kept as entries come and go. */
export class StageDemand {
  readonly #spanMs: number;
  readonly #entries: TimedWork[] = [];
  #prefillMs = 0;
  #decodeMs = 0;
  #shortRequests = 0;

  constructor(spanMs: number) {
    this.#spanMs = spanMs;
  }

  recordRequest(source: WorkSource, work: RequestWork, nowMs: number): void {
    this.#entries.push({ ...work, source, atMs: nowMs });
    this.#add(source, work, 1);
  }

  /** The sums over the span, and how many requests they are made of. */
  sums(nowMs: number): DemandSums {
    this.#dropUntil(nowMs - this.#spanMs);
    return {
      prefillMs: Math.max(0, this.#prefillMs),
      decodeMs: Math.max(0, this.#decodeMs),
      requests: this.#entries.length,
      shortRequests: this.#shortRequests,
    };
  }

  #dropUntil(endMs: number): void {
    const kept = this.#entries.findIndex(({ atMs }) => atMs > endMs);
    const gone = this.#entries.splice(0, kept < 0 ? this.#entries.length : kept);
    for (const entry of gone) this.#add(entry.source, entry, -1);
    // What rounding has left behind goes with the last entry.
    if (this.#entries.length === 0) this.#prefillMs = this.#decodeMs = 0;
  }

  #add(source: WorkSource, work: RequestWork, sign: 1 | -1): void {
    this.#prefillMs += sign * work.prefillMs;
    this.#decodeMs += sign * work.decodeMs;
    if (source === 'short-prompt') this.#shortRequests += sign;
  }
}
