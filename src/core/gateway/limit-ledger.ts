/**
 * The books of the daemon that grants the requests to one server that names a limit: what it granted to whom, and what
 * daemons sent before they knew. All that may still reach the server within a span counts, so the sum over all daemons
 * stays within the limit wherever the callers are.
 *
 * Operators allow in any 4 s one and a half times the limit, and 5 more. Grants take half of that: where daemons differ
 * for a while on who grants, two of them together stay within it. Alone, three quarters of the limit are used.
 */

/** Operators count a server's requests over this time. */
const COUNTED_SPAN_MS = 4_000;
/**
 * What was granted within the counted time and so much before may reach the server within it: a permit is used within
 * `PERMIT_VALID_MS`, and a connection takes up to 220 ms to come up.
 */
const BUNCHING_MS = 500;
export const LEDGER_SPAN_MS = COUNTED_SPAN_MS + BUNCHING_MS;
/** Of the limit, what is granted in a span: half of what operators allow. */
const GRANTED_SHARE = 0.75;
/** Beside it, so that a limit well below 1 a second can be used, and its end be seen. */
const GRANTED_BESIDE = 1;
const MILLISECONDS_PER_SECOND = 1_000;
/** Who has asked within this time shares what there is. */
const ASKERS_SPAN_MS = 5_000;
/**
 * A daemon that was asked for the first time, long after the limit became known, takes over from another and grants
 * nothing until what that one granted has reached the server.
 */
const TAKE_OVER_AFTER_MS = 1_000;

/** Requests at a time. */
export interface TimedCount {
  readonly atMs: number;
  readonly count: number;
}

interface Grant extends TimedCount {
  readonly daemon: string;
}

/** What a daemon asks for. */
export interface PermitRequest {
  readonly daemon: string;
  /** Requests that it would send now; 0 where it only tells. */
  readonly wanted: number;
  /** Granted requests that it did not send. */
  readonly returned: number;
  /** What it sent without a grant within the span, as it did not know of the limit. */
  readonly unmetered: readonly TimedCount[];
  /** For how long it has known of the limit. */
  readonly knownForMs: number;
}

/** The answer to an ask. */
export interface PermitGrant {
  readonly granted: number;
  /** Until there is room for another request; 0 where there is. */
  readonly roomInMs: number;
  /** Daemons that ask for requests to this server. */
  readonly requesters: number;
}

/** The books of one server. */
export class LimitLedger {
  #perSecond = 0;
  #grants: Grant[] = [];
  readonly #unmetered = new Map<string, readonly TimedCount[]>();
  readonly #askedAtMs = new Map<string, number>();
  #opensAtMs: number | undefined;

  /** When it was asked last; it may be dropped once that is over `LEDGER_SPAN_MS` ago. */
  lastRequestAtMs = Number.NEGATIVE_INFINITY;

  /** Takes the limit that is in force. */
  setLimit(perSecond: number): void {
    this.#perSecond = perSecond;
  }

  /** Takes what an ask tells, and grants what there is room for. */
  handleRequest(ask: PermitRequest, nowMs: number): PermitGrant {
    const { daemon, wanted, unmetered } = ask;
    this.#opensAtMs ??= ask.knownForMs > TAKE_OVER_AFTER_MS ? nowMs + LEDGER_SPAN_MS : nowMs;
    this.lastRequestAtMs = nowMs;
    this.#dropOld(nowMs);
    this.#takeBack(daemon, ask.returned);
    if (unmetered.length === 0) this.#unmetered.delete(daemon);
    else this.#unmetered.set(daemon, unmetered);
    if (wanted > 0) this.#askedAtMs.set(daemon, nowMs);
    const requesters = this.#askedAtMs.size;
    const room = this.#room(nowMs);
    const granted = Math.min(wanted, Math.ceil(room / Math.max(1, requesters)));
    if (granted > 0) this.#grants.push({ daemon, atMs: nowMs, count: granted });
    return { granted, roomInMs: this.#roomInMs(nowMs), requesters };
  }

  /** Requests that may be granted now. */
  #room(nowMs: number): number {
    if (nowMs < (this.#opensAtMs ?? nowMs)) return 0;
    const rooms = this.#bounds.map(({ spanMs, most }) => most - this.#countSince(nowMs - spanMs));
    return Math.max(0, Math.min(...rooms));
  }

  /** In the span that operators count; and in a second, as the server is to get them spread over time. */
  get #bounds(): readonly { readonly spanMs: number; readonly most: number }[] {
    const inCounted = (this.#perSecond * COUNTED_SPAN_MS) / MILLISECONDS_PER_SECOND;
    const inSpan = Math.floor(GRANTED_SHARE * inCounted + GRANTED_BESIDE);
    return [
      { spanMs: LEDGER_SPAN_MS, most: inSpan },
      { spanMs: MILLISECONDS_PER_SECOND, most: Math.max(1, Math.ceil(this.#perSecond)) },
    ];
  }

  #roomInMs(nowMs: number): number {
    const untilOpenMs = Math.max(0, (this.#opensAtMs ?? nowMs) - nowMs);
    const waits = this.#bounds.map(({ spanMs, most }) => {
      const counted = this.#all().filter(({ atMs }) => atMs > nowMs - spanMs);
      let toLeave = totalOf(counted) - most + 1;
      for (const { atMs, count } of counted.sort((left, right) => left.atMs - right.atMs)) {
        if (toLeave <= 0) break;
        toLeave -= count;
        if (toLeave <= 0) return atMs + spanMs - nowMs;
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

  /** The newest first: what was not used in time was granted last. */
  #takeBack(daemon: string, returned: number): void {
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
    for (const [daemon, atMs] of this.#askedAtMs) {
      if (nowMs - atMs > ASKERS_SPAN_MS) this.#askedAtMs.delete(daemon);
    }
  }
}

function totalOf(counts: readonly TimedCount[]): number {
  return counts.reduce((sum, { count }) => sum + count, 0);
}
