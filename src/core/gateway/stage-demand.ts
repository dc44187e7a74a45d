/**
 * The demand on a service's engines as this daemon sees it, in engine time: of prefill engines and of
 * decode engines.
 */

/** The work of a request, as time of one engine that does nothing else. */
export interface RequestWork {
  readonly prefillMs: number;
  readonly decodeMs: number;
}

/** Whether a request has a long prompt, read at a prefill engine, or a short one, read at a decode engine. */
export type WorkSource = 'long-prompt' | 'short-prompt';

interface TimedWork extends RequestWork {
  readonly source: WorkSource;
  readonly atMs: number;
}

/** Total work over a time span. */
export interface DemandSums extends RequestWork {
  readonly requests: number;
  /** Requests with a short prompt. */
  readonly shortRequests: number;
}

/** A service's demand as seen by one daemon or one zone, over the most recent time span. */
export interface ServiceDemand extends DemandSums {
  readonly service: string;
}

/** Adds up demands by service. */
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

/** Work over the most recent time span; the sums are updated as entries are added and expire. */
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

  /** Total work over the span, and the number of requests. */
  sums(nowMs: number): DemandSums {
    this.#dropBefore(nowMs - this.#spanMs);
    return {
      prefillMs: Math.max(0, this.#prefillMs),
      decodeMs: Math.max(0, this.#decodeMs),
      requests: this.#entries.length,
      shortRequests: this.#shortRequests,
    };
  }

  #dropBefore(endMs: number): void {
    const firstRecent = this.#entries.findIndex(({ atMs }) => atMs > endMs);
    const expired = this.#entries.splice(0, firstRecent < 0 ? this.#entries.length : firstRecent);
    for (const entry of expired) this.#add(entry.source, entry, -1);
    // Rounding errors of the running sums are cleared once no entry is left.
    if (this.#entries.length === 0) this.#prefillMs = this.#decodeMs = 0;
  }

  #add(source: WorkSource, work: RequestWork, sign: 1 | -1): void {
    this.#prefillMs += sign * work.prefillMs;
    this.#decodeMs += sign * work.decodeMs;
    if (source === 'short-prompt') this.#shortRequests += sign;
  }
}
