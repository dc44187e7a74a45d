/**
 * What servers have said themselves, in their answers, of whether they take work: that they leave, or that they want
 * nothing from this daemon for a time. Kept for each life of a server, whatever the platform's list says meanwhile: a
 * row may be read late, and may lapse and come back while the store is out of reach.
 */
import { lifeOf, type ServerRecord } from './server-directory.js';

/** A server that asks for more is tried again after this: one bad answer loses no server for good. */
const LONGEST_REST_MS = 60_000;
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
  /** `forMs` is how much longer. */
  | { readonly kind: 'resting'; readonly toldAgoMs: number; readonly forMs: number };

interface Rest {
  readonly toldAtMs: number;
  readonly untilMs: number;
}

interface ToldOfLife {
  leavingAtMs: number | undefined;
  rest: Rest | undefined;
}

const OPEN: Availability = { kind: 'open' };

/** The word of servers, by their lives. */
export class ServerAvailability {
  readonly #told = new Map<string, ToldOfLife>();

  /** Takes an answer's word. @returns what it tells that was not known */
  take(server: ServerRecord, told: ToldAvailability, nowMs: number): readonly Availability[] {
    const before = this.of(server, nowMs);
    const known = this.#entryOf(server, nowMs);
    const news: Availability[] = [];
    if (told.isLeaving) {
      known.leavingAtMs = nowMs;
      if (before.kind !== 'leaving') news.push({ kind: 'leaving', toldAgoMs: 0 });
    }
    const restMs = Math.min(LONGEST_REST_MS, told.restMs ?? 0);
    if (restMs > 0) {
      // A shorter rest that is asked for meanwhile takes nothing off the one before.
      const untilMs = Math.max(nowMs + restMs, known.rest?.untilMs ?? 0);
      known.rest = { toldAtMs: nowMs, untilMs };
      news.push({ kind: 'resting', toldAgoMs: 0, forMs: untilMs - nowMs });
    }
    return news;
  }

  /** What holds for a server now. */
  of(server: ServerRecord, nowMs: number): Availability {
    const told = this.#told.get(keyOf(server));
    if (told === undefined) return OPEN;
    const { leavingAtMs, rest } = told;
    if (leavingAtMs !== undefined && nowMs - leavingAtMs < LEAVING_VALID_MS) {
      return { kind: 'leaving', toldAgoMs: nowMs - leavingAtMs };
    }
    if (rest === undefined || nowMs >= rest.untilMs) return OPEN;
    return { kind: 'resting', toldAgoMs: nowMs - rest.toldAtMs, forMs: rest.untilMs - nowMs };
  }

  #entryOf(server: ServerRecord, nowMs: number): ToldOfLife {
    const key = keyOf(server);
    const known = this.#told.get(key);
    if (known !== undefined) return known;
    this.#dropOld(nowMs);
    const created: ToldOfLife = { leavingAtMs: undefined, rest: undefined };
    this.#told.set(key, created);
    return created;
  }

  /** What holds no more; so there are never more entries than lives that said something lately. */
  #dropOld(nowMs: number): void {
    for (const [key, { leavingAtMs, rest }] of this.#told) {
      const isLeaving = leavingAtMs !== undefined && nowMs - leavingAtMs < LEAVING_VALID_MS;
      if (!isLeaving && nowMs >= (rest?.untilMs ?? 0)) this.#told.delete(key);
    }
  }
}

/** Another service or address is another server, also where no start is told. */
function keyOf(server: ServerRecord): string {
  return `${lifeOf(server)} ${server.address} ${server.service}`;
}
