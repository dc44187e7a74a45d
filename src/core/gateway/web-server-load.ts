/**
 * Estimates the calls that a web server has from all daemons: by the server's own report while that is fresh, otherwise
 * by what the other daemons advertised, otherwise by this daemon's own calls alone.
 *
 * The calls of other daemons count where a service has fewer slots than there are daemons: each daemon then has less
 * than one call running on average, and its own calls say little about the load. With more slots, its own calls are a
 * fair sample that is exact and current, and decisions by them alone are better.
 *
 * The calls at a web server are replaced within about one response time, so a count loses value with age: its
 * difference from the server's usual count decays and is expected to vanish. Without this decay all daemons follow the
 * same outdated counts, and do worse than by their own calls.
 */

/** The load that a server reports with an answer. */
export interface LoadFigures {
  /** Requests in progress. */
  readonly running: number;
  /** Requests that wait for a slot. */
  readonly waiting: number;
  /** Requests that it runs at the same time. */
  readonly slots: number;
  /** Current processing time relative to the usual one, which is 1; undefined if the server does not report it. */
  readonly slowness: number | undefined;
}

/** The expected load of a web server. */
export interface WebServerLoad {
  /** Calls in progress there, including this daemon's own. */
  readonly calls: number;
  /** Standard deviation of `calls`; 0 if this daemon knows of its own calls only. */
  readonly stdDev: number;
  /** Current processing time relative to the usual one, which is 1. */
  readonly slowness: number;
}

/** What this daemon knows of a web server when it chooses one. */
export interface WebServerView {
  readonly ownCalls: number;
  /** Calls that other daemons advertised; undefined if they advertise none for this service. */
  readonly advertisedCalls: number | undefined;
  /** Smoothed response time; undefined before the first answer. */
  readonly responseMs: number | undefined;
  /** Whether there are more daemons than slots, so that this daemon's own calls say little about the load. */
  readonly isCrowded: boolean;
}

/** Average age of advertised counts, which are collected at the daemon and at the relays of one or two zones. */
const ADVERTISED_AGE_MS = 90;
/** A server's report is used for this long; after that, advertised counts are newer. */
const REPORT_VALID_MS = 300;
/** Time constant of the usual count: longer than a burst of calls, shorter than a shift of callers to other daemons. */
const USUAL_TIME_CONSTANT_MS = 3_000;
/** A usual count that has not been updated for this long is no longer used. */
const USUAL_VALID_MS = 10_000;

/** Calls of other daemons at a server, with the time of the observation. */
interface ObservedCalls {
  readonly calls: number;
  readonly atMs: number;
}

interface ServerEstimate {
  usual: ObservedCalls;
  report: (ObservedCalls & { readonly slowness: number }) | undefined;
}

/** Load estimates for all web servers. */
export class WebServerLoads {
  readonly #byServer = new Map<string, ServerEstimate>();

  /**
   * Records a server's report of its load.
   * @param ownCalls this daemon's calls in progress there
   */
  recordReport(serverId: string, figures: LoadFigures, ownCalls: number, nowMs: number): void {
    const calls = Math.max(0, figures.running + figures.waiting - ownCalls);
    const entry = this.#recordCount(serverId, calls, nowMs);
    entry.report = { calls, atMs: nowMs, slowness: figures.slowness ?? 1 };
  }

  /** Estimates a server's current load. */
  estimate(serverId: string, view: WebServerView, nowMs: number): WebServerLoad {
    const { ownCalls, advertisedCalls, responseMs, isCrowded } = view;
    const report = this.#freshReport(serverId, nowMs);
    if (!isCrowded) return { calls: ownCalls, stdDev: 0, slowness: report?.slowness ?? 1 };
    if (report !== undefined) {
      const others = this.#othersAfter(serverId, report.calls, nowMs - report.atMs, responseMs);
      return { ...others, calls: ownCalls + others.calls, slowness: report.slowness };
    }
    if (advertisedCalls !== undefined) this.#recordCount(serverId, advertisedCalls, nowMs);
    const usual = this.#usualOf(serverId, nowMs);
    if (usual === undefined) return { calls: ownCalls, stdDev: 0, slowness: 1 };
    const isAdvertised = advertisedCalls !== undefined;
    const observed = advertisedCalls ?? usual;
    const ageMs = isAdvertised ? ADVERTISED_AGE_MS : Number.POSITIVE_INFINITY;
    const others = this.#othersAfter(serverId, observed, ageMs, responseMs);
    return { ...others, calls: ownCalls + others.calls, slowness: 1 };
  }

  forget(serverId: string): void {
    this.#byServer.delete(serverId);
  }

  #freshReport(serverId: string, nowMs: number): ServerEstimate['report'] {
    const report = this.#byServer.get(serverId)?.report;
    return report !== undefined && nowMs - report.atMs <= REPORT_VALID_MS ? report : undefined;
  }

  #usualOf(serverId: string, nowMs: number): number | undefined {
    const usual = this.#byServer.get(serverId)?.usual;
    return usual !== undefined && nowMs - usual.atMs <= USUAL_VALID_MS ? usual.calls : undefined;
  }

  /** Updates the usual count; the new count weighs more the longer ago the last update was. */
  #recordCount(serverId: string, calls: number, nowMs: number): ServerEstimate {
    const known = this.#byServer.get(serverId);
    if (known === undefined) {
      const entry: ServerEstimate = { usual: { calls, atMs: nowMs }, report: undefined };
      this.#byServer.set(serverId, entry);
      return entry;
    }
    const { usual } = known;
    const weight = 1 - Math.exp((usual.atMs - nowMs) / USUAL_TIME_CONSTANT_MS);
    known.usual = { calls: usual.calls + weight * (calls - usual.calls), atMs: nowMs };
    return known;
  }

  /** Expected calls of other daemons `ageMs` after they were counted, for calls that last `responseMs` on average. */
  #othersAfter(
    serverId: string,
    observedCalls: number,
    ageMs: number,
    responseMs: number | undefined,
  ): { readonly calls: number; readonly stdDev: number } {
    const usual = this.#byServer.get(serverId)?.usual.calls ?? observedCalls;
    const remainingShare =
      responseMs === undefined ? 0 : Math.exp(-ageMs / Math.max(1, responseMs));
    const calls = usual + (observedCalls - usual) * remainingShare;
    // The number of calls that arrive and end at random has a variance equal to its mean.
    return { calls, stdDev: Math.sqrt(Math.max(0, calls) * (1 - remainingShare * remainingShare)) };
  }
}
