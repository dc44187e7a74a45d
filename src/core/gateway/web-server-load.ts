/**
 * What a web server has from all daemons, as far as this one can know: by the server's own report while that is fresh,
 * else by what the other daemons told, else by this daemon's own calls alone.
 *
 * That matters where a service has fewer slots than there are daemons: each has less than one call there on average, and
 * its own calls tell it nothing. With more slots its own calls are a fair sample, exact and new, and do better.
 *
 * The calls at a web server turn over within one call's time, so a count is worth the less the older it is: what it has
 * beyond the server's usual count has partly ended, and is expected to be gone in the end. Without that, all daemons
 * run after the same old figures, and do worse than by their own calls.
 */

/** A load as a server reports it with an answer. */
export interface LoadFigures {
  /** Requests that run. */
  readonly running: number;
  /** Requests that wait for a slot. */
  readonly waiting: number;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** How long work takes there now, 1 is usual; undefined where it does not say. */
  readonly slowness: number | undefined;
}

/** Work expected at a web server. */
export interface WebServerLoad {
  /** Calls under way there, this daemon's own among them. */
  readonly calls: number;
  /** By how many calls that is likely to be wrong; 0 where this daemon knows of its own calls only. */
  readonly stdDev: number;
  /** How long work takes there now, 1 is usual. */
  readonly slowness: number;
}

/** What this daemon knows of a web server at the moment it chooses. */
export interface WebServerView {
  readonly ownCalls: number;
  /** Calls of other daemons, as they told; undefined where they tell nothing of them. */
  readonly advertisedCalls: number | undefined;
  /** Smoothed time of its answers; undefined before the first. */
  readonly responseMs: number | undefined;
  /** Whether there are more daemons than slots, so that this one's own calls show little. */
  readonly isCrowded: boolean;
}

/** How old what daemons told is on average: it is gathered at the daemon, and at the relays of one or two zones. */
const TOLD_AGE_MS = 90;
/** A report is looked at for this long; afterwards what others told is newer. */
const REPORT_VALID_MS = 300;
/** The usual count follows what was seen over this time: longer than a burst, shorter than a shift of callers. */
const USUAL_SPAN_MS = 3_000;
/** A usual count that nothing has renewed for this long is forgotten. */
const USUAL_VALID_MS = 10_000;

/** Calls of other daemons at a server, and when they were seen. */
interface SeenCalls {
  readonly calls: number;
  readonly atMs: number;
}

interface ServerBelief {
  usual: SeenCalls;
  report: (SeenCalls & { readonly slowness: number }) | undefined;
}

/** Beliefs on all web servers. */
export class WebServerLoads {
  readonly #byServer = new Map<string, ServerBelief>();

  /**
   * A server reported its load.
   * @param ownCalls calls of this daemon that were under way there
   */
  recordReport(serverId: string, figures: LoadFigures, ownCalls: number, nowMs: number): void {
    const calls = Math.max(0, figures.running + figures.waiting - ownCalls);
    const belief = this.#see(serverId, calls, nowMs);
    belief.report = { calls, atMs: nowMs, slowness: figures.slowness ?? 1 };
  }

  /** What is to be expected of a server now. */
  estimate(serverId: string, view: WebServerView, nowMs: number): WebServerLoad {
    const { ownCalls, advertisedCalls, responseMs, isCrowded } = view;
    const report = this.#freshReport(serverId, nowMs);
    if (!isCrowded) return { calls: ownCalls, stdDev: 0, slowness: report?.slowness ?? 1 };
    if (report !== undefined) {
      const others = this.#othersAfter(serverId, report.calls, nowMs - report.atMs, responseMs);
      return { ...others, calls: ownCalls + others.calls, slowness: report.slowness };
    }
    if (advertisedCalls !== undefined) this.#see(serverId, advertisedCalls, nowMs);
    const usual = this.#usualOf(serverId, nowMs);
    if (usual === undefined) return { calls: ownCalls, stdDev: 0, slowness: 1 };
    const isTold = advertisedCalls !== undefined;
    const seen = advertisedCalls ?? usual;
    const ageMs = isTold ? TOLD_AGE_MS : Number.POSITIVE_INFINITY;
    const others = this.#othersAfter(serverId, seen, ageMs, responseMs);
    return { ...others, calls: ownCalls + others.calls, slowness: 1 };
  }

  forget(serverId: string): void {
    this.#byServer.delete(serverId);
  }

  #freshReport(serverId: string, nowMs: number): ServerBelief['report'] {
    const report = this.#byServer.get(serverId)?.report;
    return report !== undefined && nowMs - report.atMs <= REPORT_VALID_MS ? report : undefined;
  }

  #usualOf(serverId: string, nowMs: number): number | undefined {
    const usual = this.#byServer.get(serverId)?.usual;
    return usual !== undefined && nowMs - usual.atMs <= USUAL_VALID_MS ? usual.calls : undefined;
  }

  /** Takes a count into the usual one, the more the longer nothing was seen. */
  #see(serverId: string, calls: number, nowMs: number): ServerBelief {
    const known = this.#byServer.get(serverId);
    if (known === undefined) {
      const belief: ServerBelief = { usual: { calls, atMs: nowMs }, report: undefined };
      this.#byServer.set(serverId, belief);
      return belief;
    }
    const { usual } = known;
    const weight = 1 - Math.exp((usual.atMs - nowMs) / USUAL_SPAN_MS);
    known.usual = { calls: usual.calls + weight * (calls - usual.calls), atMs: nowMs };
    return known;
  }

  /** Calls of others a time after they were counted, where calls last so long on average. */
  #othersAfter(
    serverId: string,
    seenCalls: number,
    ageMs: number,
    responseMs: number | undefined,
  ): { readonly calls: number; readonly stdDev: number } {
    const usual = this.#byServer.get(serverId)?.usual.calls ?? seenCalls;
    const leftShare = responseMs === undefined ? 0 : Math.exp(-ageMs / Math.max(1, responseMs));
    const calls = usual + (seenCalls - usual) * leftShare;
    // The count of calls that come and go by chance varies by as much as their number.
    return { calls, stdDev: Math.sqrt(Math.max(0, calls) * (1 - leftShare * leftShare)) };
  }
}
