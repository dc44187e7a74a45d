/**
 * What a daemon knows of requests that ran at a server when it ended. A request is known by its fingerprint, which is
 * the same at every daemon and for every try of its caller. One under which enough servers have ended is quarantined:
 * no daemon sends it any more. One that ran whole ends no servers, and is cleared.
 *
 * Daemons exchange records in any order and as often as they like: a record with more clearings replaces one with
 * fewer, and of records with as many the servers add up.
 */

/**
 * Servers that end under a request before it is quarantined. One says little, as a whole batch breaks off with its
 * server and one request of it at most is at fault. With three, a third batch would be lost for each such request.
 */
export const CRASHES_TO_QUARANTINE = 2;
/** Servers named in a record: enough to quarantine it, and one that ended meanwhile. */
const MOST_SERVERS = CRASHES_TO_QUARANTINE + 1;
/** A day: the tries of a caller come much sooner, and a body that is repaired is another request. */
export const RECORD_KEPT_MS = 86_400_000;
/** About a megabyte; a server that ends leaves as many records as it had requests running. */
const MOST_RECORDS = 4_096;
/** Records that are not quarantined are told again for so long, so that lost datagrams cost nothing. */
const TOLD_AGAIN_MS = 30_000;

/** What is known of one request. */
export interface CrashRecord {
  readonly fingerprint: string;
  /** Servers that ended while it ran there. */
  readonly serverIds: readonly string[];
  /** How often it was cleared: by a whole run, or by an operator. */
  readonly clearings: number;
  /** Whether the store has it. */
  readonly isStored: boolean;
  /** Since the last server ended, or since it was cleared. */
  readonly ageMs: number;
}

/** What a change made of a record. */
export type CrashRecordChange = 'none' | 'recorded' | 'quarantined' | 'cleared';

interface Entry {
  serverIds: readonly string[];
  clearings: number;
  isStored: boolean;
  changedMs: number;
  /** When there was last a reason to tell it. */
  newsMs: number;
}

/** The records of one daemon. */
export class CrashRecords {
  /** In the order of their last change. */
  readonly #entries = new Map<string, Entry>();
  #quarantined = 0;
  #toldFirst = 0;

  /** Whether nothing is known of any request: none needs to be looked up. */
  get isEmpty(): boolean {
    return this.#entries.size === 0;
  }

  /** Requests that no daemon sends any more. */
  get quarantined(): number {
    return this.#quarantined;
  }

  get size(): number {
    return this.#entries.size;
  }

  isQuarantined(fingerprint: string): boolean {
    const entry = this.#entries.get(fingerprint);
    return entry !== undefined && isOver(entry);
  }

  /** Undefined where nothing is known of it. */
  get(fingerprint: string, nowMs: number): CrashRecord | undefined {
    const entry = this.#entries.get(fingerprint);
    return entry === undefined ? undefined : recordOf(fingerprint, entry, nowMs);
  }

  /** A server ended while a request ran there. */
  noteCrash(fingerprint: string, serverId: string, nowMs: number): CrashRecordChange {
    const known = this.#entries.get(fingerprint);
    const clearings = known?.clearings ?? 0;
    const crash = { fingerprint, serverIds: [serverId], clearings, isStored: false, ageMs: 0 };
    return this.take(crash, nowMs);
  }

  /** The request ran whole, or an operator vouches for it. */
  clear(fingerprint: string, nowMs: number): CrashRecordChange {
    const known = this.#entries.get(fingerprint);
    if (known === undefined || known.serverIds.length === 0) return 'none';
    const clearings = known.clearings + 1;
    return this.take({ fingerprint, serverIds: [], clearings, isStored: false, ageMs: 0 }, nowMs);
  }

  noteStored(fingerprint: string): void {
    const entry = this.#entries.get(fingerprint);
    if (entry !== undefined) entry.isStored = true;
  }

  /** Takes what another daemon, or the store, says of a request. */
  take(record: CrashRecord, nowMs: number): CrashRecordChange {
    if (record.ageMs >= RECORD_KEPT_MS) return 'none';
    const known = this.#entries.get(record.fingerprint);
    const merged = merge(known, record, nowMs);
    if (known !== undefined && merged === known) return 'none';
    this.#put(record.fingerprint, merged);
    this.#keepBound();
    if (merged.serverIds.length === 0) return 'cleared';
    const wasOver = known !== undefined && isOver(known);
    return isOver(merged) && !wasOver ? 'quarantined' : 'recorded';
  }

  /** Forgets what is too old; gives the fingerprints of those that were quarantined. */
  dropOld(nowMs: number): readonly string[] {
    const old = [...this.#entries].filter(
      ([, { changedMs }]) => nowMs - changedMs >= RECORD_KEPT_MS,
    );
    for (const [fingerprint] of old) this.#remove(fingerprint);
    return old.filter(([, entry]) => isOver(entry)).map(([fingerprint]) => fingerprint);
  }

  /** The next of those that others may lack, by turns. */
  nextToTell(most: number, nowMs: number): readonly CrashRecord[] {
    const told = [...this.#entries].filter(
      ([, entry]) => isOver(entry) || nowMs - entry.newsMs < TOLD_AGAIN_MS,
    );
    const first = told.length <= most ? 0 : this.#toldFirst % told.length;
    this.#toldFirst = first + most;
    const turn = [...told.slice(first), ...told.slice(0, first)].slice(0, most);
    return turn.map(([fingerprint, entry]) => recordOf(fingerprint, entry, nowMs));
  }

  #put(fingerprint: string, entry: Entry): void {
    this.#remove(fingerprint);
    this.#entries.set(fingerprint, entry);
    if (isOver(entry)) this.#quarantined += 1;
  }

  #remove(fingerprint: string): void {
    const entry = this.#entries.get(fingerprint);
    if (entry === undefined) return;
    if (isOver(entry)) this.#quarantined -= 1;
    this.#entries.delete(fingerprint);
  }

  /** The oldest make room, those that are quarantined last. */
  #keepBound(): void {
    while (this.#entries.size > MOST_RECORDS) {
      const free = [...this.#entries].find(([, entry]) => !isOver(entry)) ?? [...this.#entries][0];
      if (free === undefined) return;
      this.#remove(free[0]);
    }
  }
}

function isOver({ serverIds }: Entry): boolean {
  return serverIds.length >= CRASHES_TO_QUARANTINE;
}

/** `known` itself where the record says nothing new. */
function merge(known: Entry | undefined, record: CrashRecord, nowMs: number): Entry {
  const { serverIds, clearings, isStored, ageMs } = record;
  const told = { serverIds, clearings, isStored, changedMs: nowMs - ageMs, newsMs: nowMs };
  if (known === undefined || clearings > known.clearings) return told;
  if (clearings < known.clearings) {
    // Whoever says so has missed the clearing.
    known.newsMs = nowMs;
    return known;
  }
  const more = serverIds.filter((id) => !known.serverIds.includes(id));
  const joined = [...known.serverIds, ...more].slice(0, MOST_SERVERS);
  if (joined.length > known.serverIds.length) {
    const changedMs = Math.max(known.changedMs, told.changedMs);
    return { ...told, serverIds: joined, isStored: known.isStored || isStored, changedMs };
  }
  known.isStored ||= isStored;
  return known;
}

function recordOf(fingerprint: string, entry: Entry, nowMs: number): CrashRecord {
  const { serverIds, clearings, isStored, changedMs } = entry;
  return { fingerprint, serverIds, clearings, isStored, ageMs: Math.max(0, nowMs - changedMs) };
}
