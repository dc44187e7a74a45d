/**
 * A daemon's records of requests that were running at a server when it ended. A request is identified by its fingerprint,
 * which is the same at every daemon and for every retry of its caller. One under which servers ended repeatedly is
 * quarantined: no daemon sends it any more. One that ran to its end crashes no servers, and is cleared.
 *
 * Daemons may exchange records in any order and any number of times: a record with more clearings replaces one with
 * fewer, and records with equally many clearings merge their crashes.
 */

/**
 * Crashes that quarantine a request; each of the runs must have begun after the one before had ended its server. A single
 * crash is weak evidence, as a whole batch breaks off with its server and at most one request of it is at fault. With
 * three, each such request would cost a third batch. The price of two: in two storms in which a quarter and two fifths of
 * 16 servers ended nine times in 30 s, 4 and 7 of some 5,200 harmless requests were quarantined, and 2 and 6 retries of
 * their callers were refused.
 */
const CRASHES_TO_QUARANTINE = 2;
/** The oldest crashes beyond this number are dropped; by then there were some that did not overlap. */
const MAX_CRASHES_PER_RECORD = 4;
/** One day: retries of a caller come much sooner, and a request with a repaired body has another fingerprint. */
export const CRASH_RECORD_RETENTION_MS = 86_400_000;
/** About two megabytes; a server that ends leaves one record for each request that it was running. */
const MAX_RECORDS = 4_096;
/** Records that are not quarantined are advertised again for this long, so that lost datagrams do no harm. */
const ADVERTISE_SPAN_MS = 30_000;

/** The end of a boot of a server while a request ran there. */
export interface Crash {
  /** The boot, as `bootIdOf` names it: a server that restarts may end again. */
  readonly serverId: string;
  /** Time since the server ended. */
  readonly ageMs: number;
  /** How long the request had been at the server. */
  readonly ranMs: number;
}

/** What is known of one request. */
export interface CrashRecord {
  readonly fingerprint: string;
  readonly crashes: readonly Crash[];
  /** Whether some daemon has quarantined the request. */
  readonly isQuarantined: boolean;
  /** How often it was cleared: by a complete run, or by an operator. */
  readonly clearings: number;
  /** Whether the store has the record. */
  readonly isStored: boolean;
  /** Time since the last server ended, or since the request was cleared. */
  readonly ageMs: number;
}

/** How a crash, a clearing or another record changed a record. */
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
  /** When there was last a reason to advertise the record. */
  advertiseSinceMs: number;
}

/** The records of one daemon. */
export class CrashRecords {
  /** In the order of their last change. */
  readonly #entries = new Map<string, Entry>();
  #quarantined = 0;
  #nextIndex = 0;

  /** Whether there are no records, so that no request needs to be looked up. */
  get isEmpty(): boolean {
    return this.#entries.size === 0;
  }

  /** Number of requests that no daemon sends any more. */
  get quarantined(): number {
    return this.#quarantined;
  }

  get size(): number {
    return this.#entries.size;
  }

  isQuarantined(fingerprint: string): boolean {
    return this.#entries.get(fingerprint)?.isQuarantined === true;
  }

  /** Undefined where nothing is known of the request. */
  get(fingerprint: string, nowMs: number): CrashRecord | undefined {
    const entry = this.#entries.get(fingerprint);
    return entry === undefined ? undefined : recordOf(fingerprint, entry, nowMs);
  }

  /** Records that a server ended while a request ran there; just now, where no age is given. */
  recordCrash(
    fingerprint: string,
    { ageMs = 0, ...crash }: Omit<Crash, 'ageMs'> & Partial<Pick<Crash, 'ageMs'>>,
    nowMs: number,
  ): CrashRecordChange {
    const clearings = this.#entries.get(fingerprint)?.clearings ?? 0;
    const crashes = [{ ...crash, ageMs }];
    return this.applyRecord({ ...NEW_RECORD, fingerprint, crashes, clearings }, nowMs);
  }

  /** Clears a request that ran to its end or whose quarantine an operator lifted. */
  clear(fingerprint: string, nowMs: number): CrashRecordChange {
    const known = this.#entries.get(fingerprint);
    if (known === undefined || known.crashes.length === 0) return 'none';
    return this.applyRecord({ ...NEW_RECORD, fingerprint, clearings: known.clearings + 1 }, nowMs);
  }

  /** Records of requests that are quarantined, or that were cleared. */
  quarantinedOrCleared(nowMs: number): readonly CrashRecord[] {
    return [...this.#entries]
      .filter(([, { isQuarantined, clearings }]) => isQuarantined || clearings > 0)
      .map(([fingerprint, entry]) => recordOf(fingerprint, entry, nowMs));
  }

  /** Records that the store has lost its row of a request. */
  markNotStored(fingerprint: string): void {
    const entry = this.#entries.get(fingerprint);
    if (entry !== undefined) entry.isStored = false;
  }

  markStored(fingerprint: string): void {
    const entry = this.#entries.get(fingerprint);
    if (entry !== undefined) entry.isStored = true;
  }

  /** Merges a record of another daemon or of the store. */
  applyRecord(record: CrashRecord, nowMs: number): CrashRecordChange {
    if (record.ageMs >= CRASH_RECORD_RETENTION_MS) return 'none';
    const known = this.#entries.get(record.fingerprint);
    const merged = merge(known, record, nowMs);
    if (known !== undefined && merged === known) return 'none';
    this.#put(record.fingerprint, merged);
    this.#evictOldest();
    if (merged.crashes.length === 0) return 'cleared';
    return merged.isQuarantined && known?.isQuarantined !== true ? 'quarantined' : 'recorded';
  }

  /** Removes expired records. @returns the fingerprints of those that were quarantined */
  removeExpired(nowMs: number): readonly string[] {
    const old = [...this.#entries].filter(
      ([, { changedMs }]) => nowMs - changedMs >= CRASH_RECORD_RETENTION_MS,
    );
    for (const [fingerprint] of old) this.#remove(fingerprint);
    return old.filter(([, entry]) => entry.isQuarantined).map(([fingerprint]) => fingerprint);
  }

  /** The next records, round robin, of those that peers may lack. */
  nextToAdvertise(maxRecords: number, nowMs: number): readonly CrashRecord[] {
    const candidates = [...this.#entries].filter(
      ([, entry]) => entry.isQuarantined || nowMs - entry.advertiseSinceMs < ADVERTISE_SPAN_MS,
    );
    const first = candidates.length <= maxRecords ? 0 : this.#nextIndex % candidates.length;
    this.#nextIndex = first + maxRecords;
    const turn = [...candidates.slice(first), ...candidates.slice(0, first)].slice(0, maxRecords);
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

  /** Evicts the oldest record beyond the limit; a quarantined one only if there is no other. */
  #evictOldest(): void {
    if (this.#entries.size <= MAX_RECORDS) return;
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
 * Counts runs that each began after the one before had ended its server. Servers that end together, as those of a rack
 * do, end under all copies of a popular request; a request that crashes servers also does so one after another.
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

/** @returns `known` itself where the record adds nothing to it */
function merge(known: Entry | undefined, record: CrashRecord, nowMs: number): Entry {
  const received = entryOf(record, nowMs);
  if (known === undefined || received.clearings > known.clearings) return received;
  if (received.clearings < known.clearings) {
    // The sender has missed the clearing, so it is advertised again.
    known.advertiseSinceMs = nowMs;
    return known;
  }
  const knownIds = new Set(known.crashes.map(({ serverId }) => serverId));
  const added = received.crashes.filter(({ serverId }) => !knownIds.has(serverId));
  const hasChanged = added.length > 0 || (received.isQuarantined && !known.isQuarantined);
  if (!hasChanged) {
    known.isStored ||= received.isStored;
    return known;
  }
  const crashes = newest([...known.crashes, ...added]);
  return {
    ...received,
    crashes,
    isQuarantined: known.isQuarantined || received.isQuarantined || reachesQuarantine(crashes),
    changedMs: Math.max(known.changedMs, received.changedMs),
    isStored: known.isStored || received.isStored,
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
    isQuarantined: record.isQuarantined || reachesQuarantine(crashes),
    clearings: record.clearings,
    changedMs: nowMs - record.ageMs,
    isStored: record.isStored,
    advertiseSinceMs: nowMs,
  };
}

function reachesQuarantine(crashes: readonly KnownCrash[]): boolean {
  return disjointCrashes(crashes) >= CRASHES_TO_QUARANTINE;
}

function newest(crashes: readonly KnownCrash[]): readonly KnownCrash[] {
  if (crashes.length <= MAX_CRASHES_PER_RECORD) return crashes;
  return [...crashes]
    .sort((left, right) => right.endedMs - left.endedMs)
    .slice(0, MAX_CRASHES_PER_RECORD);
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
