/**
 * What servers have said themselves, in their answers, of whether they take work: that they leave, or that they want
 * nothing from this daemon for a time. Both are facts, not suspicions: nothing is sent there, also where no other
 * server is left. Kept for each life of a server, whatever the platform's list says meanwhile: a row may be read late,
 * and may lapse and come back while the store is out of reach.
 */
import { isSameLife, type ServerRecord } from './server-directory.js';

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

/** A server's word on whether it takes work, as an answer of it tells. */
export interface ToldAvailability {
  /** It takes no new work from anyone. */
  readonly isLeaving: boolean;
  /** It wants nothing from this daemon for so long; undefined where it asks for no rest. */
  readonly restMs: number | undefined;
}

/** Whether a server is to be sent anything. */
export type Availability =
  | { readonly kind: 'open' }
  | { readonly kind: 'leaving'; readonly toldAgoMs: number }
  /** `forMs` is how much longer; after its rest a server is so too while one request tries it. */
  | { readonly kind: 'resting'; readonly toldAgoMs: number; readonly forMs: number };

/** When something was told, and a number from 0 to 1 drawn for it. */
export interface ToldAt {
  readonly nowMs: number;
  readonly entropy: number;
}

interface Rest {
  readonly toldAtMs: number;
  readonly untilMs: number;
  /** When the first request after it was sent; undefined before. */
  readonly triedAtMs: number | undefined;
}

interface ToldOfLife {
  readonly server: ServerRecord;
  leavingAtMs: number | undefined;
  rest: Rest | undefined;
}

const OPEN: Availability = { kind: 'open' };

/** The word of servers on whether they take work. */
export class ServerAvailability {
  /** By id; of the life that spoke last. */
  readonly #told = new Map<string, ToldOfLife>();

  /** Takes an answer's word. @returns what it tells that was not known */
  take(
    server: ServerRecord,
    told: ToldAvailability,
    { nowMs, entropy }: ToldAt,
  ): readonly Availability[] {
    const news: Availability[] = [];
    const known = this.#entryOf(server, nowMs);
    if (told.isLeaving) {
      if (this.of(server, nowMs).kind !== 'leaving') news.push({ kind: 'leaving', toldAgoMs: 0 });
      known.leavingAtMs = nowMs;
    }
    const askedMs = Math.min(LONGEST_REST_MS, told.restMs ?? 0);
    if (askedMs > 0) {
      const untilMs = nowMs + askedMs * (1 + REST_SPREAD * entropy);
      // A shorter rest that is asked for meanwhile takes nothing off the one before.
      const latestMs = Math.max(untilMs, known.rest?.untilMs ?? 0);
      known.rest = { toldAtMs: nowMs, untilMs: latestMs, triedAtMs: undefined };
      news.push({ kind: 'resting', toldAgoMs: 0, forMs: latestMs - nowMs });
    }
    return news;
  }

  /** A caller's request is sent to a server; the first one after a rest tries it for the others. */
  noteSent(server: ServerRecord, nowMs: number): void {
    const told = this.#toldOf(server);
    if (told?.rest === undefined || told.rest.triedAtMs !== undefined) return;
    told.rest = { ...told.rest, triedAtMs: nowMs };
  }

  /** A caller's request that was sent at some time was answered without a word on rest. */
  noteTaken(server: ServerRecord, sentAtMs: number): void {
    const told = this.#toldOf(server);
    if (told?.rest !== undefined && sentAtMs >= told.rest.untilMs) told.rest = undefined;
  }

  /** What holds for a server now. */
  of(server: ServerRecord, nowMs: number): Availability {
    const told = this.#toldOf(server);
    if (told === undefined) return OPEN;
    const { leavingAtMs, rest } = told;
    if (leavingAtMs !== undefined && nowMs - leavingAtMs < LEAVING_VALID_MS) {
      return { kind: 'leaving', toldAgoMs: nowMs - leavingAtMs };
    }
    const forMs = rest === undefined ? 0 : endOf(rest) - nowMs;
    if (rest === undefined || forMs <= 0) return OPEN;
    return { kind: 'resting', toldAgoMs: nowMs - rest.toldAtMs, forMs };
  }

  #toldOf(server: ServerRecord): ToldOfLife | undefined {
    if (this.#told.size === 0) return undefined;
    const told = this.#told.get(server.id);
    return told !== undefined && isSameLife(told.server, server) ? told : undefined;
  }

  #entryOf(server: ServerRecord, nowMs: number): ToldOfLife {
    const known = this.#toldOf(server);
    if (known !== undefined) return known;
    this.#dropOld(nowMs);
    const created: ToldOfLife = { server, leavingAtMs: undefined, rest: undefined };
    this.#told.set(server.id, created);
    return created;
  }

  /** What holds no more; so there are never more entries than servers that said something lately. */
  #dropOld(nowMs: number): void {
    for (const [id, { server }] of this.#told) {
      if (this.of(server, nowMs).kind === 'open') this.#told.delete(id);
    }
  }
}

/** The end of a rest, or of the trial after it. */
function endOf({ untilMs, triedAtMs }: Rest): number {
  return triedAtMs === undefined ? untilMs : triedAtMs + TRIAL_MS;
}
