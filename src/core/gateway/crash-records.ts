/**
 * What a daemon knows of requests that ran at a server when it ended. A request is known by its fingerprint, which is
 * the same at every daemon and for every try of its caller. One under which servers ended again and again is
 * quarantined: no daemon sends it any more. One that ran whole ends no servers, and is cleared.
 *
 * Daemons exchange records in any order and as often as they like: a record with more clearings replaces one with
 * fewer, and of records with as many the crashes add up.
 */

/**
 * Runs, one begun after the other had ended its server, before a request is quarantined. One says little, as a whole
 * batch breaks off with its server and one request of it at most is at fault. With three, a third batch would be lost
 * for each such request. The price: in two storms in which a quarter or two fifths of 16 servers ended nine times in 30 s,
 * 4 and 7 of some 5,200 requests that harm nothing were quarantined, and 2 and 6 tries of their callers were turned away.
 */
const CRASHES_TO_QUARANTINE = 2;
/** Of more crashes the oldest are forgotten; by then there were some that did not overlap. */
const MOST_CRASHES = 4;
/** A day: the tries of a caller come much sooner, and a body that is repaired is another request. */
export const CRASH_RECORD_RETENTION_MS = 86_400_000;
/** Some two megabytes; a server that ends leaves as many records as it had requests running. */
const MOST_RECORDS = 4_096;
/** Records that are not quarantined are told again for so long, so that lost datagrams cost nothing. */
const TOLD_AGAIN_MS = 30_000;

/** A life of a server that ended while a request ran there. */
export interface Crash {
  /** The life, as `bootIdOf` names it: a server that starts again may end again. */
  readonly serverId: string;
  /** Since the server ended. */
  readonly ageMs: number;
  /** How long the request had been there. */
  readonly ranMs: number;
}

/** What is known of one request. */
export interface CrashRecord {
  readonly fingerprint: string;
  readonly crashes: readonly Crash[];
  /** Whether some daemon found enough of them. */
  readonly isQuarantined: boolean;
  /** How often it was cleared: by a whole run, or by an operator. */
  readonly clearings: number;
  /** Whether the store has it. */
  readonly isStored: boolean;
  /** Since the last server ended, or since it was cleared. */
  readonly ageMs: number;
}

/** What a change made of a record. */
export type CrashRecordChange = 'none' | 'recorded' | 'quarantined' | 'cleared';

interface KnownCrash {
  readonly serverId: string;
  readonly startedMs: number;
  readonly endedMs: number;
}

interface Entry {
  readonly crashes: readonly KnownCrash[];
  readonly isQuarantined: boolean;
  readonly clearings: number;
  readonly changedMs: number;
  isStored: boolean;
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
    return this.#entries.get(fingerprint)?.isQuarantined === true;
  }

  /** Undefined where nothing is known of it. */
  get(fingerprint: string, nowMs: number): CrashRecord | undefined {
    const entry = this.#entries.get(fingerprint);
    return entry === undefined ? undefined : recordOf(fingerprint, entry, nowMs);
  }

  /** A server ended under a request that had been there so long; just now where no age is given. */
  recordCrash(
    fingerprint: string,
    { ageMs = 0, ...crash }: Omit<Crash, 'ageMs'> & Partial<Pick<Crash, 'ageMs'>>,
    nowMs: number,
  ): CrashRecordChange {
    const clearings = this.#entries.get(fingerprint)?.clearings ?? 0;
    const crashes = [{ ...crash, ageMs }];
    return this.take({ ...NEW_RECORD, fingerprint, crashes, clearings }, nowMs);
  }

  /** The request ran whole, or an operator vouches for it. */
  clear(fingerprint: string, nowMs: number): CrashRecordChange {
    const known = this.#entries.get(fingerprint);
    if (known === undefined || known.crashes.length === 0) return 'none';
    return this.take({ ...NEW_RECORD, fingerprint, clearings: known.clearings + 1 }, nowMs);
  }

  /** Of requests that are quarantined, or were and are cleared. */
  all(nowMs: number): readonly CrashRecord[] {
    return [...this.#entries]
      .filter(([, { isQuarantined, clearings }]) => isQuarantined || clearings > 0)
      .map(([fingerprint, entry]) => recordOf(fingerprint, entry, nowMs));
  }

  /** The store has lost what it had of a request. */
  markNotStored(fingerprint: string): void {
    const entry = this.#entries.get(fingerprint);
    if (entry !== undefined) entry.isStored = false;
  }

  markStored(fingerprint: string): void {
    const entry = this.#entries.get(fingerprint);
    if (entry !== undefined) entry.isStored = true;
  }

  /** Takes what another daemon, or the store, says of a request. */
  take(record: CrashRecord, nowMs: number): CrashRecordChange {
    if (record.ageMs >= CRASH_RECORD_RETENTION_MS) return 'none';
    const known = this.#entries.get(record.fingerprint);
    const merged = merge(known, record, nowMs);
    if (known !== undefined && merged === known) return 'none';
    this.#put(record.fingerprint, merged);
    this.#keepBound();
    if (merged.crashes.length === 0) return 'cleared';
    return merged.isQuarantined && known?.isQuarantined !== true ? 'quarantined' : 'recorded';
  }

  /** Forgets what is too old; gives the fingerprints of those that were quarantined. */
  dropOld(nowMs: number): readonly string[] {
    const old = [...this.#entries].filter(
      ([, { changedMs }]) => nowMs - changedMs >= CRASH_RECORD_RETENTION_MS,
    );
    for (const [fingerprint] of old) this.#remove(fingerprint);
    return old.filter(([, entry]) => entry.isQuarantined).map(([fingerprint]) => fingerprint);
  }

  /** The next of those that others may lack, by turns. */
  nextToAdvertise(most: number, nowMs: number): readonly CrashRecord[] {
    const told = [...this.#entries].filter(
      ([, entry]) => entry.isQuarantined || nowMs - entry.newsMs < TOLD_AGAIN_MS,
    );
    const first = told.length <= most ? 0 : this.#toldFirst % told.length;
    this.#toldFirst = first + most;
    const turn = [...told.slice(first), ...told.slice(0, first)].slice(0, most);
    return turn.map(([fingerprint, entry]) => recordOf(fingerprint, entry, nowMs));
  }

  #put(fingerprint: string, entry: Entry): void {
    this.#remove(fingerprint);
    this.#entries.set(fingerprint, entry);
    if (entry.isQuarantined) this.#quarantined += 1;
  }

  #remove(fingerprint: string): void {
    const entry = this.#entries.get(fingerprint);
    if (entry === undefined) return;
    if (entry.isQuarantined) this.#quarantined -= 1;
    this.#entries.delete(fingerprint);
  }

  /** The oldest make room, those that are quarantined last. */
  #keepBound(): void {
    if (this.#entries.size <= MOST_RECORDS) return;
    const dropped = this.#oldest((entry) => !entry.isQuarantined) ?? this.#oldest(() => true);
    if (dropped !== undefined) this.#remove(dropped);
  }

  #oldest(fits: (entry: Entry) => boolean): string | undefined {
    for (const [fingerprint, entry] of this.#entries) if (fits(entry)) return fingerprint;
    return undefined;
  }
}

const NEW_RECORD = { crashes: [], isQuarantined: false, isStored: false, ageMs: 0 } as const;

/**
 * Runs of which each began after the one before had ended its server. Servers that end together, as a rack does, end
 * under all copies of a request that is popular; a request that ends servers does so one after the other, too.
 */
function disjointCrashes(crashes: readonly KnownCrash[]): number {
  const ordered = [...crashes].sort((left, right) => left.endedMs - right.endedMs);
  let count = 0;
  let endedMs = Number.NEGATIVE_INFINITY;
  for (const crash of ordered) {
    if (crash.startedMs < endedMs) continue;
    count += 1;
    endedMs = crash.endedMs;
  }
  return count;
}

/** `known` itself where the record says nothing new. */
function merge(known: Entry | undefined, record: CrashRecord, nowMs: number): Entry {
  const told = entryOf(record, nowMs);
  if (known === undefined || told.clearings > known.clearings) return told;
  if (told.clearings < known.clearings) {
    // Whoever says so has missed the clearing.
    known.newsMs = nowMs;
    return known;
  }
  const knownIds = new Set(known.crashes.map(({ serverId }) => serverId));
  const more = told.crashes.filter(({ serverId }) => !knownIds.has(serverId));
  const isNews = more.length > 0 || (told.isQuarantined && !known.isQuarantined);
  if (!isNews) {
    known.isStored ||= told.isStored;
    return known;
  }
  const crashes = newest([...known.crashes, ...more]);
  return {
    ...told,
    crashes,
    isQuarantined: known.isQuarantined || told.isQuarantined || isEnough(crashes),
    changedMs: Math.max(known.changedMs, told.changedMs),
    isStored: known.isStored || told.isStored,
  };
}

function entryOf(record: CrashRecord, nowMs: number): Entry {
  const crashes = newest(
    record.crashes.map(({ serverId, ageMs, ranMs }) => {
      const endedMs = nowMs - ageMs;
      return { serverId, endedMs, startedMs: endedMs - ranMs };
    }),
  );
  return {
    crashes,
    isQuarantined: record.isQuarantined || isEnough(crashes),
    clearings: record.clearings,
    changedMs: nowMs - record.ageMs,
    isStored: record.isStored,
    newsMs: nowMs,
  };
}

function isEnough(crashes: readonly KnownCrash[]): boolean {
  return disjointCrashes(crashes) >= CRASHES_TO_QUARANTINE;
}

function newest(crashes: readonly KnownCrash[]): readonly KnownCrash[] {
  if (crashes.length <= MOST_CRASHES) return crashes;
  return [...crashes].sort((left, right) => right.endedMs - left.endedMs).slice(0, MOST_CRASHES);
}

function recordOf(fingerprint: string, entry: Entry, nowMs: number): CrashRecord {
  const { crashes, isQuarantined, isStored, clearings, changedMs } = entry;
  return {
    fingerprint,
    crashes: crashes.map(({ serverId, startedMs, endedMs }) => ({
      serverId,
      ageMs: Math.max(0, nowMs - endedMs),
      ranMs: endedMs - startedMs,
    })),
    isQuarantined,
    clearings,
    isStored,
    ageMs: Math.max(0, nowMs - changedMs),
  };
}
