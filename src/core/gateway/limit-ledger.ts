/**
 * The ledger of the daemon that grants requests to one server with a limit: what it granted to each daemon, and what
 * daemons sent before they knew of the limit. Everything that may still reach the server within a span counts, so the
 * sum over all daemons stays within the limit wherever the callers are.
 *
 * In any 4 s, operators allow one and a half times the limit plus 5 requests. Grants use half of that: if daemons
 * disagree for a while on which of them grants, two granting daemons together stay within it. A single one uses three
 * quarters of the limit.
 */

/** Time over which operators count a server's requests. */
const COUNTED_SPAN_MS = 4_000;
/**
 * Longest time from a grant to the arrival of its request: a permit is used within `PERMIT_VALID_MS`, and a connection
 * takes up to 220 ms to establish. Grants from up to this long before a counted span may reach the server within it.
 */
const MAX_ARRIVAL_DELAY_MS = 500;
export const LEDGER_SPAN_MS = COUNTED_SPAN_MS + MAX_ARRIVAL_DELAY_MS;
/** Share of the limit that is granted in a span: half of what operators allow. */
const GRANTED_SHARE = 0.75;
/**
 * Requests granted in a span on top of that, so that a limit well below 1 per second can be used, and its end be
 * noticed.
 */
const GRANTED_EXTRA = 1;
const MILLISECONDS_PER_SECOND = 1_000;
/** Daemons that have requested permits within this time share the capacity. */
const REQUESTERS_WINDOW_MS = 5_000;
/**
 * If the sender of the first permit request has known the limit for longer than this, another daemon granted permits
 * before. Nothing is granted then until that daemon's grants have reached the server.
 */
const TAKE_OVER_AFTER_MS = 1_000;

/** A number of requests at a point in time. */
export interface TimedCount {
  readonly atMs: number;
  readonly count: number;
}

interface Grant extends TimedCount {
  readonly daemon: string;
}

/** A daemon's request for permits. */
export interface PermitRequest {
  readonly daemon: string;
  /** Requests that it would send now; 0 if the message only reports. */
  readonly wanted: number;
  /** Granted requests that it did not send. */
  readonly returned: number;
  /** Requests that it sent within the span without a grant, because it did not know of the limit. */
  readonly unmetered: readonly TimedCount[];
  /** For how long it has known of the limit. */
  readonly knownForMs: number;
}

/** The answer to a permit request. */
export interface PermitGrant {
  readonly granted: number;
  /** Time until there is capacity for another request; 0 if there is some now. */
  readonly roomInMs: number;
  /** Number of daemons that request permits for this server. */
  readonly requesters: number;
}

/** The ledger of one server. */
export class LimitLedger {
  #perSecond = 0;
  #grants: Grant[] = [];
  readonly #unmetered = new Map<string, readonly TimedCount[]>();
  readonly #requestedAtMs = new Map<string, number>();
  #opensAtMs: number | undefined;

  /** Time of the last permit request; the ledger may be dropped `LEDGER_SPAN_MS` after it. */
  lastRequestAtMs = Number.NEGATIVE_INFINITY;

  setLimit(perSecond: number): void {
    this.#perSecond = perSecond;
  }

  /** Records what a permit request reports, and grants what there is capacity for. */
  handleRequest(request: PermitRequest, nowMs: number): PermitGrant {
    const { daemon, wanted, unmetered } = request;
    this.#opensAtMs ??= request.knownForMs > TAKE_OVER_AFTER_MS ? nowMs + LEDGER_SPAN_MS : nowMs;
    this.lastRequestAtMs = nowMs;
    this.#dropOld(nowMs);
    this.#revoke(daemon, request.returned);
    if (unmetered.length === 0) this.#unmetered.delete(daemon);
    else this.#unmetered.set(daemon, unmetered);
    if (wanted > 0) this.#requestedAtMs.set(daemon, nowMs);
    const requesters = this.#requestedAtMs.size;
    const capacity = this.#capacity(nowMs);
    const granted = Math.min(wanted, Math.ceil(capacity / Math.max(1, requesters)));
    if (granted > 0) this.#grants.push({ daemon, atMs: nowMs, count: granted });
    return { granted, roomInMs: this.#capacityInMs(nowMs), requesters };
  }

  /** Requests that may be granted now. */
  #capacity(nowMs: number): number {
    if (nowMs < (this.#opensAtMs ?? nowMs)) return 0;
    const capacities = this.#bounds.map(
      ({ spanMs, most }) => most - this.#countSince(nowMs - spanMs),
    );
    return Math.max(0, Math.min(...capacities));
  }

  /**
   * Bounds for the span that operators count, and for one second, so that requests reach the server spread over time.
   */
  get #bounds(): readonly { readonly spanMs: number; readonly most: number }[] {
    const inCounted = (this.#perSecond * COUNTED_SPAN_MS) / MILLISECONDS_PER_SECOND;
    const inSpan = Math.floor(GRANTED_SHARE * inCounted + GRANTED_EXTRA);
    return [
      { spanMs: LEDGER_SPAN_MS, most: inSpan },
      { spanMs: MILLISECONDS_PER_SECOND, most: Math.max(1, Math.ceil(this.#perSecond)) },
    ];
  }

  #capacityInMs(nowMs: number): number {
    const untilOpenMs = Math.max(0, (this.#opensAtMs ?? nowMs) - nowMs);
    const waits = this.#bounds.map(({ spanMs, most }) => {
      const counted = this.#all().filter(({ atMs }) => atMs > nowMs - spanMs);
      let excess = totalOf(counted) - most + 1;
      for (const { atMs, count } of counted.sort((left, right) => left.atMs - right.atMs)) {
        if (excess <= 0) break;
        excess -= count;
        if (excess <= 0) return atMs + spanMs - nowMs;
      }
      return 0;
    });
    return Math.max(untilOpenMs, ...waits);
  }

  #countSince(sinceMs: number): number {
    return totalOf(this.#all().filter(({ atMs }) => atMs > sinceMs));
  }

  #all(): TimedCount[] {
    return [...this.#grants, ...[...this.#unmetered.values()].flat()];
  }

  /** Takes back the newest grants first, because unused permits were granted last. */
  #revoke(daemon: string, returned: number): void {
    let left = returned;
    for (let index = this.#grants.length - 1; index >= 0 && left > 0; index -= 1) {
      const grant = this.#grants[index];
      if (grant?.daemon !== daemon) continue;
      const taken = Math.min(left, grant.count);
      left -= taken;
      this.#grants[index] = { ...grant, count: grant.count - taken };
    }
  }

  #dropOld(nowMs: number): void {
    const sinceMs = nowMs - LEDGER_SPAN_MS;
    this.#grants = this.#grants.filter(({ atMs, count }) => atMs > sinceMs && count > 0);
    for (const [daemon, sends] of this.#unmetered) {
      if (sends.every(({ atMs }) => atMs <= sinceMs)) this.#unmetered.delete(daemon);
    }
    for (const [daemon, atMs] of this.#requestedAtMs) {
      if (nowMs - atMs > REQUESTERS_WINDOW_MS) this.#requestedAtMs.delete(daemon);
    }
  }
}

function totalOf(counts: readonly TimedCount[]): number {
  return counts.reduce((sum, { count }) => sum + count, 0);
}
