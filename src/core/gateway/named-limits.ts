/**
 * The limits that overloaded servers name in their answers: how many requests per second each accepts from all daemons
 * together, for as long as it repeats the limit. A limit ends with an answer that names none and whose request was sent
 * after the last answer that named the limit; a late answer to an earlier request does not show the current state.
 * Limits that other daemons advertise carry the age of the server's report, so that an older report does not replace a
 * newer one.
 */
import type { ServerRecord } from './server-directory.js';

/** Smallest relative difference that counts as a change of a limit; grants follow the newest value in any case. */
const MIN_CHANGE = 0.1;
/**
 * Time for which the end of a limit is remembered, so that older advertisements do not bring it back; these arrive
 * sooner.
 */
const ENDED_RETENTION_MS = 60_000;
/**
 * A limit that its server has not repeated for this long is dropped, whether the server is listed or not: while any
 * daemon has requests for it, one is sent there every few seconds.
 */
const LIMIT_VALID_MS = 120_000;

/** What an answer shows of its server's limit. */
export type LimitReading =
  | { readonly kind: 'named'; readonly perSecond: number }
  /** The answer names no limit. `attemptId` is the attempt that the answer belongs to. */
  | { readonly kind: 'none'; readonly attemptId: string | undefined }
  /** The text is malformed: it neither sets a limit nor ends one. */
  | { readonly kind: 'unreadable'; readonly text: string }
  /** The answer may come from another server. */
  | { readonly kind: 'unknown' };

/** A report on a limit in an answer that is certain to come from the server itself. */
export type ReportedLimit = Extract<LimitReading, { kind: 'named' | 'none' }>;

/** When the request was sent, and when its answer arrived. */
export interface AnswerTimes {
  readonly sentAtMs: number;
  readonly nowMs: number;
}

/** A server's limit as another daemon advertises it. */
export interface AdvertisedLimit {
  /** Undefined if the server names none any more. */
  readonly perSecond: number | undefined;
  /** Time since the server reported the limit; for an end, time since the request was sent whose answer showed it. */
  readonly reportedAgoMs: number;
}

/** A change of a known limit. */
export type LimitChange =
  | { readonly kind: 'named'; readonly perSecond: number }
  | { readonly kind: 'changed'; readonly perSecond: number; readonly before: number }
  | { readonly kind: 'ended'; readonly before: number };

/** A limit that is in force as far as this daemon knows. */
export interface NamedLimit {
  readonly perSecond: number;
  /** The value in the last change that was returned. */
  readonly lastChange: number;
  /** When the server last reported it, to any daemon. */
  readonly reportedAtMs: number;
  /** When this daemon learnt of it. */
  readonly knownSinceMs: number;
  /** Whether an answer to this daemon named it, instead of advertisements of other daemons alone. */
  readonly isFirstHand: boolean;
}

/** The limits in force, by server. */
export class NamedLimits {
  readonly #limits = new Map<string, NamedLimit>();
  /** When limits ended, by server. */
  readonly #ends = new Map<string, number>();

  /**
   * Records the report of an answer to this daemon; returns undefined if nothing changes. The first such report counts
   * as a change.
   */
  recordReport(
    { id }: ServerRecord,
    report: ReportedLimit,
    times: AnswerTimes,
  ): LimitChange | undefined {
    this.#dropOld(times.nowMs);
    const known = this.#limits.get(id);
    switch (report.kind) {
      case 'none':
        if (known === undefined || times.sentAtMs <= known.reportedAtMs) return undefined;
        return this.#end(id, known, times.sentAtMs);
      case 'named': {
        const { nowMs } = times;
        const limit = { perSecond: report.perSecond, reportedAtMs: nowMs, isFirstHand: true };
        return this.#keep(id, limit, known?.isFirstHand !== true, nowMs);
      }
    }
  }

  /** Applies another daemon's advertisement; returns undefined if nothing changes. */
  applyAdvertised(
    id: string,
    { perSecond, reportedAgoMs }: AdvertisedLimit,
    nowMs: number,
  ): LimitChange | undefined {
    this.#dropOld(nowMs);
    const known = this.#limits.get(id);
    const reportedAtMs = nowMs - Math.max(0, reportedAgoMs);
    const isOld =
      reportedAtMs <= (known?.reportedAtMs ?? this.#ends.get(id) ?? Number.NEGATIVE_INFINITY);
    if (isOld) return undefined;
    if (perSecond === undefined) {
      return known === undefined ? undefined : this.#end(id, known, reportedAtMs);
    }
    const limit = { perSecond, reportedAtMs, isFirstHand: known?.isFirstHand ?? false };
    return this.#keep(id, limit, known === undefined, nowMs);
  }

  /** What this daemon can advertise of a server's limit; undefined if it knows of none, in force or ended. */
  advertisementOf(id: string, nowMs: number): AdvertisedLimit | undefined {
    const known = this.#limits.get(id);
    if (known !== undefined) {
      return { perSecond: known.perSecond, reportedAgoMs: nowMs - known.reportedAtMs };
    }
    const endedAtMs = this.#ends.get(id);
    if (endedAtMs === undefined) return undefined;
    return { perSecond: undefined, reportedAgoMs: nowMs - endedAtMs };
  }

  /** The limit of a server; undefined where none is in force. */
  of(id: string): NamedLimit | undefined {
    return this.#limits.get(id);
  }

  /** Drops an advertised limit that cannot be confirmed. */
  forget(id: string): void {
    this.#limits.delete(id);
    this.#ends.delete(id);
  }

  /** Number of servers with a limit. */
  get count(): number {
    return this.#limits.size;
  }

  /** @param isFirst whether it counts as new regardless of what was known before */
  #keep(
    id: string,
    limit: Pick<NamedLimit, 'perSecond' | 'reportedAtMs' | 'isFirstHand'>,
    isFirst: boolean,
    nowMs: number,
  ): LimitChange | undefined {
    const { perSecond } = limit;
    const known = this.#limits.get(id);
    const knownSinceMs = known?.knownSinceMs ?? nowMs;
    if (known === undefined || isFirst) {
      this.#limits.set(id, { ...limit, lastChange: perSecond, knownSinceMs });
      return { kind: 'named', perSecond };
    }
    const change = changeOf(known, perSecond);
    const lastChange = change === undefined ? known.lastChange : perSecond;
    this.#limits.set(id, { ...limit, lastChange, knownSinceMs });
    return change;
  }

  #end(id: string, known: NamedLimit, endedAtMs: number): LimitChange {
    this.#limits.delete(id);
    this.#ends.set(id, endedAtMs);
    return { kind: 'ended', before: known.perSecond };
  }

  /** Drops old entries, so that there are never more than servers that reported recently. */
  #dropOld(nowMs: number): void {
    for (const [id, { reportedAtMs }] of this.#limits) {
      if (nowMs - reportedAtMs > LIMIT_VALID_MS) this.#limits.delete(id);
    }
    for (const [id, atMs] of this.#ends) {
      if (nowMs - atMs > ENDED_RETENTION_MS) this.#ends.delete(id);
    }
  }
}

function changeOf(known: NamedLimit, perSecond: number): LimitChange | undefined {
  if (Math.abs(perSecond - known.lastChange) <= MIN_CHANGE * known.lastChange) return undefined;
  return { kind: 'changed', perSecond, before: known.lastChange };
}
