/**
 * The limits that servers in need name in their answers: how many requests a second each takes from all daemons
 * together, for as long as it says so. A limit ends with an answer that names none and whose request was sent after
 * the last one that named it: an older answer that comes late says nothing of now. What other daemons tell counts by
 * its age, so that nothing old undoes what is newer.
 */
import type { ServerRecord } from './server-directory.js';

/** A limit that moves by less with each answer is no news: what is granted goes by the newest one anyway. */
const NEWS_SHARE = 0.1;
/** So long an end is remembered against older word of the limit, which travels for less. */
const END_KEPT_MS = 60_000;
/**
 * A limit that nobody was told again for so long is not believed any more, whether its server is listed or not: while any
 * daemon has requests for it, one goes there every few seconds.
 */
const UNSAID_VALID_MS = 120_000;

/** What an answer says of the limit of its server. */
export type LimitReading =
  | { readonly kind: 'named'; readonly perSecond: number }
  /** It names none; the attempt that it answers. */
  | { readonly kind: 'none'; readonly attemptId: string | undefined }
  /** Not as servers write it: it neither names a limit nor ends one. */
  | { readonly kind: 'unreadable'; readonly text: string }
  /** Another server may have written it. */
  | { readonly kind: 'unknown' };

/** What was said of a limit by an answer that is sure to be the server's own. */
export type ReportedLimit = Extract<LimitReading, { kind: 'named' | 'none' }>;

/** When the request of an answer was sent, and when its answer came. */
export interface AnswerTimes {
  readonly sentAtMs: number;
  readonly nowMs: number;
}

/** Another daemon's word on a server's limit. */
export interface AdvertisedLimit {
  /** Undefined where the server names none any more. */
  readonly perSecond: number | undefined;
  /** How long ago the server said so; of an end, how long ago the request was sent whose answer showed it. */
  readonly reportedAgoMs: number;
}

/** What changed in what is known. */
export type LimitChange =
  | { readonly kind: 'named'; readonly perSecond: number }
  | { readonly kind: 'changed'; readonly perSecond: number; readonly before: number }
  | { readonly kind: 'ended'; readonly before: number };

/** A limit that is in force as far as is known. */
export interface NamedLimit {
  readonly perSecond: number;
  /** What was told as news last. */
  readonly noted: number;
  /** When the server said it last, to whichever daemon. */
  readonly reportedAtMs: number;
  /** When it became known here. */
  readonly knownSinceMs: number;
  /** Whether an answer to this daemon named it, and not only others told of it. */
  readonly isFirstHand: boolean;
}

/** The limits in force, by server. */
export class NamedLimits {
  readonly #limits = new Map<string, NamedLimit>();
  /** When limits ended, by server. */
  readonly #ends = new Map<string, number>();

  /** Takes an answer's word; undefined where it changes nothing. The first one of its own is a change. */
  recordReport(
    { id }: ServerRecord,
    said: ReportedLimit,
    times: AnswerTimes,
  ): LimitChange | undefined {
    this.#dropOld(times.nowMs);
    const known = this.#limits.get(id);
    switch (said.kind) {
      case 'none':
        if (known === undefined || times.sentAtMs <= known.reportedAtMs) return undefined;
        return this.#end(id, known, times.sentAtMs);
      case 'named': {
        const { nowMs } = times;
        const limit = { perSecond: said.perSecond, reportedAtMs: nowMs, isFirstHand: true };
        return this.#keep(id, limit, known?.isFirstHand !== true, nowMs);
      }
    }
  }

  /** Takes another daemon's word; undefined where it changes nothing. */
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

  /** What this daemon can tell of a server's limit; undefined where it knows of none, in force or ended. */
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

  /** What others told of it can't be confirmed. */
  forget(id: string): void {
    this.#limits.delete(id);
    this.#ends.delete(id);
  }

  /** Servers that name a limit. */
  get count(): number {
    return this.#limits.size;
  }

  /** @param isFirst whether it is news whatever was known before */
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
      this.#limits.set(id, { ...limit, noted: perSecond, knownSinceMs });
      return { kind: 'named', perSecond };
    }
    const change = changeOf(known, perSecond);
    const noted = change === undefined ? known.noted : perSecond;
    this.#limits.set(id, { ...limit, noted, knownSinceMs });
    return change;
  }

  #end(id: string, known: NamedLimit, endedAtMs: number): LimitChange {
    this.#limits.delete(id);
    this.#ends.set(id, endedAtMs);
    return { kind: 'ended', before: known.perSecond };
  }

  /** There are never more entries than servers that said something lately. */
  #dropOld(nowMs: number): void {
    for (const [id, { reportedAtMs }] of this.#limits) {
      if (nowMs - reportedAtMs > UNSAID_VALID_MS) this.#limits.delete(id);
    }
    for (const [id, atMs] of this.#ends) {
      if (nowMs - atMs > END_KEPT_MS) this.#ends.delete(id);
    }
  }
}

function changeOf(known: NamedLimit, perSecond: number): LimitChange | undefined {
  if (Math.abs(perSecond - known.noted) <= NEWS_SHARE * known.noted) return undefined;
  return { kind: 'changed', perSecond, before: known.noted };
}
