/**
 * What servers have said themselves, in their answers, of whether they take work: that they leave, or that they want
 * nothing from this daemon for a time. Both are facts, not suspicions: nothing is sent there, also where no other
 * server is left. Both are kept whatever the platform's list says meanwhile: a row may be read late, and may lapse and
 * come back while the store is out of reach. A leave ends with the life of the server that said it.
 */
import { isSameBoot, type ServerRecord } from './server-directory.js';

/** A server that asks for more is tried again after this: one bad answer loses no server for good. */
const LONGEST_REST_MS = 60_000;
/**
 * A rest is lengthened by up to this part of it, by chance, so that daemons that were turned away together do not come
 * back together. It costs a twentieth of the rest on average.
 */
const REST_SPREAD = 0.1;
/**
 * After a rest one request goes first, and no other until its answer has come or this time is over: who is turned away
 * is told at once, so one that has waited so long was taken in.
 */
const TRIAL_MS = 250;
/**
 * A leave that was not said again for so long is not believed any more while the server is listed as ready: planned
 * stops are over well before, also where the store was away. A false one costs this daemon the server for so long.
 */
const LEAVING_VALID_MS = 120_000;
/** Times of day of machines differ; a start that is so much older than a word is sure to be the older of the two. */
const CLOCK_MARGIN_MS = 1_000;

/** A server's word on whether it takes work, as an answer of it tells. */
export interface ReportedAvailability {
  /** It takes no new work from anyone. */
  readonly isLeaving: boolean;
  /** It wants nothing from this daemon for so long; undefined where it asks for no rest. */
  readonly backOffMs: number | undefined;
}

/** A server wants rest; after it, a server is so too while one request tries it. */
export interface Resting {
  readonly kind: 'resting';
  readonly toldAgoMs: number;
  /** How much longer. */
  readonly forMs: number;
}

/** A server names a limit, and this daemon has no permit to send it a request now. */
export interface AtLimit {
  readonly kind: 'at-limit';
  readonly toldAgoMs: number;
  /** Until a permit may be expected. */
  readonly forMs: number;
}

/** Why a server is to be sent no request of a caller, by its own word alone. */
export type Unavailable = { readonly kind: 'leaving'; readonly toldAgoMs: number } | Resting;

/** Whether a server is to be sent callers' requests. */
export type Availability = { readonly kind: 'open' } | Unavailable;

/** When something was told, and a number from 0 to 1 drawn for it. */
export interface ToldAt {
  readonly nowMs: number;
  /** The time of day, Unix milliseconds, which tells whose word it was; undefined where that is not known. */
  readonly unixMs?: number;
  readonly entropy: number;
}

interface Rest {
  readonly toldAtMs: number;
  readonly untilMs: number;
  /** When the first request after it was sent; undefined before. */
  readonly triedAtMs: number | undefined;
}

interface Leave {
  readonly server: ServerRecord;
  readonly toldAtMs: number;
  readonly toldUnixMs: number | undefined;
}

/** Whether a server is to be sent a request now, the limits of servers counted. */
export type SendAvailability = Availability | AtLimit;

const OPEN: Availability = { kind: 'open' };

/** The word of servers on whether they take work. */
export class ServerAvailability {
  /** By id. */
  readonly #leaves = new Map<string, Leave>();
  /**
   * By address: what is sent to a server that has ended reaches the one that listens there now, and one that has
   * just started again there may speak before the list shows it.
   */
  readonly #rests = new Map<string, Rest>();

  /** Takes an answer's word. @returns what it tells that was not known */
  recordReport(
    server: ServerRecord,
    { isLeaving, backOffMs }: ReportedAvailability,
    { nowMs, unixMs, entropy }: ToldAt,
  ): readonly Unavailable[] {
    this.#dropOld(nowMs);
    const news: Unavailable[] = [];
    if (isLeaving) {
      if (this.#leaveOf(server, nowMs) === undefined) news.push({ kind: 'leaving', toldAgoMs: 0 });
      this.#leaves.set(server.id, { server, toldAtMs: nowMs, toldUnixMs: unixMs });
    }
    const askedMs = Math.min(LONGEST_REST_MS, backOffMs ?? 0);
    if (askedMs > 0) {
      const lengthenedMs = askedMs * (1 + REST_SPREAD * entropy);
      // A shorter rest that is asked for meanwhile takes nothing off the one before.
      const knownUntilMs = this.#rests.get(server.address)?.untilMs ?? 0;
      const untilMs = Math.max(nowMs + lengthenedMs, knownUntilMs);
      const rest = { toldAtMs: nowMs, untilMs, triedAtMs: undefined };
      this.#rests.set(server.address, rest);
      news.push({ kind: 'resting', toldAgoMs: 0, forMs: untilMs - nowMs });
    }
    return news;
  }

  /** A caller's request is sent to a server; the first one after a rest tries it for the others. */
  recordSent(server: ServerRecord, nowMs: number): void {
    const rest = this.#rests.get(server.address);
    if (rest === undefined || rest.triedAtMs !== undefined) return;
    this.#rests.set(server.address, { ...rest, triedAtMs: nowMs });
  }

  /** A caller's request that was sent at some time was answered without a word on rest. */
  recordAccepted(server: ServerRecord, sentAtMs: number): void {
    const rest = this.#rests.get(server.address);
    if (rest !== undefined && sentAtMs >= rest.untilMs) this.#rests.delete(server.address);
  }

  /** What holds for a server now. */
  of(server: ServerRecord, nowMs: number): Availability {
    const leave = this.#leaveOf(server, nowMs);
    if (leave !== undefined) return { kind: 'leaving', toldAgoMs: nowMs - leave.toldAtMs };
    return this.backOffOf(server, nowMs) ?? OPEN;
  }

  /** The rest that a server wants now, also where it leaves; undefined where it wants none. */
  backOffOf({ address }: ServerRecord, nowMs: number): Resting | undefined {
    const rest = this.#rests.get(address);
    if (rest === undefined) return undefined;
    const forMs = endOf(rest) - nowMs;
    return forMs > 0 ? { kind: 'resting', toldAgoMs: nowMs - rest.toldAtMs, forMs } : undefined;
  }

  #leaveOf(server: ServerRecord, nowMs: number): Leave | undefined {
    const leave = this.#leaves.get(server.id);
    if (leave === undefined || !wasSaidBy(leave, server)) return undefined;
    return nowMs - leave.toldAtMs < LEAVING_VALID_MS ? leave : undefined;
  }

  /** What holds no more; so there are never more entries than servers that said something lately. */
  #dropOld(nowMs: number): void {
    for (const [id, { toldAtMs }] of this.#leaves) {
      if (nowMs - toldAtMs >= LEAVING_VALID_MS) this.#leaves.delete(id);
    }
    for (const [address, rest] of this.#rests) {
      if (nowMs - rest.untilMs >= LONGEST_REST_MS) this.#rests.delete(address);
    }
  }
}

/**
 * Whether a life of a server said that it leaves. One that has just started again may say so before the list shows its
 * start: then the word was heard well after that start, though the list still showed the life before.
 */
function wasSaidBy({ server, toldUnixMs }: Leave, life: ServerRecord): boolean {
  if (isSameBoot(server, life)) return true;
  const isSameServer = server.address === life.address && server.service === life.service;
  if (!isSameServer || life.bornMs === undefined || toldUnixMs === undefined) return false;
  return toldUnixMs - life.bornMs > CLOCK_MARGIN_MS;
}

/** The end of a rest, or of the trial after it. */
function endOf({ untilMs, triedAtMs }: Rest): number {
  return triedAtMs === undefined ? untilMs : triedAtMs + TRIAL_MS;
}
