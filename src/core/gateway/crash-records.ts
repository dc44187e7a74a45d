/**
 * A daemon's records of requests, and of parts of their prompts, that were running at a server when it ended. A request is
 * identified by its fingerprint, which is the same at every daemon and for every retry of its caller; a part by its id.
 * One under which servers ended repeatedly is quarantined: no daemon sends it any more. A request that ran to its end
 * crashes no servers, nor does a part on which a server has begun to write: these are cleared.
 *
 * Daemons may exchange records in any order and any number of times: a record with more clearings replaces one with
 * fewer, and records with equally many clearings merge their crashes.
 */
import {
  COMMON_CAUSE_MS,
  crashesToKeep,
  type KnownCrash,
  PART_EVIDENCE_MS,
  reachesQuarantine,
} from './crash-evidence.js';
import { isPartSubject } from './crash-subjects.js';

/** One day: retries of a caller come much sooner, and a request with a repaired body has another subject. */
export const CRASH_RECORD_RETENTION_MS = 86_400_000;
/** About two megabytes; a server that ends leaves a record for each request that it was running, and for their parts. */
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
  /** Which request ran there, where the record is of a part. */
  readonly request?: string | undefined;
}

/** What is known of one request or part. */
export interface CrashRecord {
  readonly subject: string;
  readonly crashes: readonly Crash[];
  /** Whether some daemon has quarantined it. */
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
  #quarantinedRequests = 0;
  #quarantinedParts = 0;
  #parts = 0;
  #nextQuarantined = 0;
  #nextSuspected = 0;

  /** Whether there are no records, so that no request needs to be looked up. */
  get isEmpty(): boolean {
    return this.#entries.size === 0;
  }

  /** Number of requests that no daemon sends any more, however their prompts' parts are. */
  get quarantinedRequests(): number {
    return this.#quarantinedRequests;
  }

  /** Number of parts with which no daemon sends requests any more. */
  get quarantinedParts(): number {
    return this.#quarantinedParts;
  }

  get quarantined(): number {
    return this.#quarantinedRequests + this.#quarantinedParts;
  }

  /** Number of records of requests. */
  get requests(): number {
    return this.#entries.size - this.#parts;
  }

  /** Number of records of parts. */
  get parts(): number {
    return this.#parts;
  }

  has(subject: string): boolean {
    return this.#entries.has(subject);
  }

  isQuarantined(subject: string): boolean {
    return this.#entries.get(subject)?.isQuarantined === true;
  }

  /** Undefined where nothing is known of the request. */
  get(subject: string, nowMs: number): CrashRecord | undefined {
    const entry = this.#entries.get(subject);
    return entry === undefined ? undefined : recordOf(subject, entry, nowMs);
  }

  /** Records that a server ended while a request ran there; just now, where no age is given. */
  recordCrash(
    subject: string,
    { ageMs = 0, ...crash }: Omit<Crash, 'ageMs'> & Partial<Pick<Crash, 'ageMs'>>,
    nowMs: number,
  ): CrashRecordChange {
    const clearings = this.#entries.get(subject)?.clearings ?? 0;
    const crashes = [{ ...crash, ageMs }];
    return this.applyRecord({ ...NEW_RECORD, subject, crashes, clearings }, nowMs);
  }

  /** Clears a request that ran to its end or whose quarantine an operator lifted. */
  clear(subject: string, nowMs: number): CrashRecordChange {
    const known = this.#entries.get(subject);
    if (known === undefined || known.crashes.length === 0) return 'none';
    return this.applyRecord({ ...NEW_RECORD, subject, clearings: known.clearings + 1 }, nowMs);
  }

  /** Removes the record of a part that is only suspected, as a server has begun to write on it. */
  removeSuspicion(subject: string): void {
    if (this.#entries.get(subject)?.isQuarantined === false) this.#remove(subject);
  }

  /** Requests under which servers ended only while they did under a part, which explains all of their crashes. */
  requestsExplainedBy(partSubject: string): readonly string[] {
    const part = this.#entries.get(partSubject);
    if (part === undefined || part.crashes.length === 0) return [];
    const endsMs = part.crashes.map(({ endedMs }) => endedMs);
    const fromMs = Math.min(...endsMs) - COMMON_CAUSE_MS;
    const toMs = Math.max(...endsMs) + COMMON_CAUSE_MS;
    const isExplained = ({ crashes }: Entry) =>
      crashes.length > 0 && crashes.every(({ endedMs }) => endedMs >= fromMs && endedMs <= toMs);
    return [...this.#entries].flatMap(([subject, entry]) =>
      !isPartSubject(subject) && isExplained(entry) ? [subject] : [],
    );
  }

  /** Records that are quarantined, or that were cleared. */
  quarantinedOrCleared(nowMs: number): readonly CrashRecord[] {
    return [...this.#entries]
      .filter(([, { isQuarantined, clearings }]) => isQuarantined || clearings > 0)
      .map(([subject, entry]) => recordOf(subject, entry, nowMs));
  }

  /** Records that the store has lost its row of a request. */
  markNotStored(subject: string): void {
    const entry = this.#entries.get(subject);
    if (entry !== undefined) entry.isStored = false;
  }

  markStored(subject: string): void {
    const entry = this.#entries.get(subject);
    if (entry !== undefined) entry.isStored = true;
  }

  /** Merges a record of another daemon or of the store. */
  applyRecord(record: CrashRecord, nowMs: number): CrashRecordChange {
    if (record.ageMs >= CRASH_RECORD_RETENTION_MS) return 'none';
    const known = this.#entries.get(record.subject);
    const merged = merge(known, record, nowMs);
    if (known !== undefined && merged === known) return 'none';
    this.#put(record.subject, merged);
    this.#evictOldest();
    if (merged.crashes.length === 0) return 'cleared';
    return merged.isQuarantined && known?.isQuarantined !== true ? 'quarantined' : 'recorded';
  }

  /** Removes expired records. @returns the subjects of those that were quarantined */
  removeExpired(nowMs: number): readonly string[] {
    const old = [...this.#entries].filter(
      ([subject, entry]) => nowMs - entry.changedMs >= retentionMs(subject, entry),
    );
    for (const [subject] of old) this.#remove(subject);
    return old.filter(([, entry]) => entry.isQuarantined).map(([subject]) => subject);
  }

  /** The next records, round robin, of those that peers may lack; of those that are quarantined half of them at least. */
  nextToAdvertise(maxRecords: number, nowMs: number): readonly CrashRecord[] {
    const entries = [...this.#entries];
    const quarantined = entries.filter(([, entry]) => entry.isQuarantined);
    const suspected = entries.filter(
      ([, entry]) => !entry.isQuarantined && nowMs - entry.advertiseSinceMs < ADVERTISE_SPAN_MS,
    );
    const forSuspected = Math.min(suspected.length, Math.floor(maxRecords / 2));
    const first = roundRobin(quarantined, this.#nextQuarantined, maxRecords - forSuspected);
    const then = roundRobin(suspected, this.#nextSuspected, maxRecords - first.length);
    this.#nextQuarantined += first.length;
    this.#nextSuspected += then.length;
    return [...first, ...then].map(([subject, entry]) => recordOf(subject, entry, nowMs));
  }

  #put(subject: string, entry: Entry): void {
    this.#remove(subject);
    this.#entries.set(subject, entry);
    this.#count(subject, entry, 1);
  }

  #remove(subject: string): void {
    const entry = this.#entries.get(subject);
    if (entry === undefined) return;
    this.#count(subject, entry, -1);
    this.#entries.delete(subject);
  }

  #count(subject: string, { isQuarantined }: Entry, change: 1 | -1): void {
    const isPart = isPartSubject(subject);
    if (isPart) this.#parts += change;
    if (!isQuarantined) return;
    if (isPart) this.#quarantinedParts += change;
    else this.#quarantinedRequests += change;
  }

  /** Evicts the oldest record beyond the limit; a quarantined one only if there is no other. */
  #evictOldest(): void {
    if (this.#entries.size <= MAX_RECORDS) return;
    const dropped = this.#oldest((entry) => !entry.isQuarantined) ?? this.#oldest(() => true);
    if (dropped !== undefined) this.#remove(dropped);
  }

  #oldest(fits: (entry: Entry) => boolean): string | undefined {
    for (const [subject, entry] of this.#entries) if (fits(entry)) return subject;
    return undefined;
  }
}

/** At most `most` items from the `next`th one on, from the start again after the end. */
function roundRobin<Item>(items: readonly Item[], next: number, most: number): readonly Item[] {
  const first = items.length <= most ? 0 : next % items.length;
  return [...items.slice(first), ...items.slice(0, first)].slice(0, most);
}

function retentionMs(subject: string, { isQuarantined, clearings }: Entry): number {
  const isSuspectedPart = isPartSubject(subject) && !isQuarantined && clearings === 0;
  return isSuspectedPart ? PART_EVIDENCE_MS : CRASH_RECORD_RETENTION_MS;
}

const NEW_RECORD = { crashes: [], isQuarantined: false, isStored: false, ageMs: 0 } as const;

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
  const crashes = crashesToKeep(record.subject, [...known.crashes, ...added]);
  return {
    ...received,
    crashes,
    isQuarantined:
      known.isQuarantined || received.isQuarantined || reachesQuarantine(record.subject, crashes),
    changedMs: Math.max(known.changedMs, received.changedMs),
    isStored: known.isStored || received.isStored,
  };
}

function entryOf(record: CrashRecord, nowMs: number): Entry {
  const known = record.crashes.map(({ serverId, ageMs, ranMs, request }) => {
    const endedMs = nowMs - ageMs;
    return { serverId, endedMs, startedMs: endedMs - ranMs, request };
  });
  const crashes = crashesToKeep(record.subject, known);
  return {
    crashes,
    isQuarantined: record.isQuarantined || reachesQuarantine(record.subject, crashes),
    clearings: record.clearings,
    changedMs: nowMs - record.ageMs,
    isStored: record.isStored,
    advertiseSinceMs: nowMs,
  };
}

function recordOf(subject: string, entry: Entry, nowMs: number): CrashRecord {
  const { crashes, isQuarantined, isStored, clearings, changedMs } = entry;
  return {
    subject,
    crashes: crashes.map(({ serverId, startedMs, endedMs, request }) => ({
      serverId,
      ageMs: Math.max(0, nowMs - endedMs),
      ranMs: endedMs - startedMs,
      ...(request === undefined ? {} : { request }),
    })),
    isQuarantined,
    clearings,
    isStored,
    ageMs: Math.max(0, nowMs - changedMs),
  };
}
