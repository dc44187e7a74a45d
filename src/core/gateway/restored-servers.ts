/**
 * What the list of servers means after the store has come back from an older copy: it may show servers that have left
 * since or that leave, as ready, and lack those that have come since, until they write again.
 *
 * - Who has said that it leaves does not stay after all.
 * - One that had left without a word is listed again only once its row has outlasted the time after which rows that
 *   nobody writes lapse.
 * - One that is missing is there for as long as servers take to write again.
 */
import {
  type DirectoryChange,
  isSameBoot,
  type ServerDirectory,
  type ServerRecord,
} from './server-directory.js';

/** Servers that live have written their rows again so long after the store's return. */
const REWRITTEN_MS = 2_500;
/** A row that nobody writes has lapsed so long after the store's return, as a part of the time to be back in touch. */
const LAPSE_SHARE_OF_CONTACT = 1.5;
/** Copies are some seconds old, and a store may be away for a while: who left before has no row in one. */
const LEFT_KEPT_MS = 120_000;
/** Servers that left are remembered up to this many; the ones that left first make room. */
const MOST_LEFT = 4_096;

/** Servers as they were read. */
export interface ReadServers {
  readonly records: readonly ServerRecord[];
  /** All ids that the table has, also of rows that can't be read; undefined where only changes were read. */
  readonly listedIds: ReadonlySet<string> | undefined;
}

/** Why the list is taken otherwise than it was read. */
export type RestoredReason =
  /** It is listed as ready, and had said that it leaves. */
  | 'leaves'
  /** It is listed as ready, and had left. */
  | 'left'
  /** It is not listed, and was there. */
  | 'missing';

/** A server that is taken otherwise than it was read. */
export interface RestoredServer {
  readonly server: ServerRecord;
  readonly reason: RestoredReason;
}

/** The list as it is to be taken. */
export interface CorrectedServers {
  readonly records: readonly ServerRecord[];
  readonly corrected: readonly RestoredServer[];
}

interface LeftServer {
  readonly server: ServerRecord;
  readonly leftMs: number;
}

/** What this daemon knows that an older copy does not. */
export class RestoredServers {
  readonly #lapseMs: number;
  readonly #left = new Map<string, LeftServer>();
  #sinceMs: number | undefined;

  /** @param contactMs how long after a disturbance a daemon counts as in touch again */
  constructor(contactMs: number) {
    this.#lapseMs = contactMs * LAPSE_SHARE_OF_CONTACT;
  }

  /** When the list is to be read again after the store's return, as it means more from then on. */
  get rereadDelaysMs(): readonly number[] {
    return [REWRITTEN_MS, this.#lapseMs];
  }

  /** The store is back from an older copy. */
  begin(nowMs: number): void {
    this.#sinceMs = nowMs;
  }

  /** The directory has changed. */
  note({ added, removed }: DirectoryChange, nowMs: number): void {
    for (const { id } of added) this.#left.delete(id);
    for (const server of removed) {
      this.#left.delete(server.id);
      this.#left.set(server.id, { server, leftMs: nowMs });
    }
    for (const [id, { leftMs }] of this.#left) {
      const isKept = nowMs - leftMs < LEFT_KEPT_MS && this.#left.size <= MOST_LEFT;
      if (isKept) break;
      this.#left.delete(id);
    }
  }

  /** The list as it is to be taken; as it was read where the store never came back from a copy. */
  correct(
    { records, listedIds }: ReadServers,
    directory: Pick<ServerDirectory, 'get' | 'all'>,
    nowMs: number,
  ): CorrectedServers {
    if (this.#sinceMs === undefined) return { records, corrected: [] };
    const agoMs = nowMs - this.#sinceMs;
    const isWhole = listedIds !== undefined;
    const taken: ServerRecord[] = [];
    const corrected: RestoredServer[] = [];
    for (const record of records) {
      const reason = this.#reasonOf(record, directory.get(record.id), agoMs, isWhole);
      if (reason === undefined) taken.push(record);
      else corrected.push({ server: record, reason });
      if (reason === 'leaves') taken.push({ ...record, state: 'draining' });
    }
    const missing = isWhole && agoMs < REWRITTEN_MS ? missingOf(directory, listedIds) : [];
    return {
      records: [...taken, ...missing],
      corrected: [
        ...corrected,
        ...missing.map((server) => ({ server, reason: 'missing' }) as const),
      ],
    };
  }

  #reasonOf(
    record: ServerRecord,
    known: ServerRecord | undefined,
    agoMs: number,
    isWhole: boolean,
  ): RestoredReason | undefined {
    if (record.state === 'draining') return undefined;
    if (known !== undefined) {
      return known.state === 'draining' && isSameBoot(known, record) ? 'leaves' : undefined;
    }
    const left = this.#left.get(record.id)?.server;
    if (left === undefined || !isSameBoot(left, record)) return undefined;
    if (left.state === 'draining') return 'left';
    // A change is written by the server itself.
    return isWhole && agoMs < this.#lapseMs ? 'left' : undefined;
  }
}

function missingOf(
  directory: Pick<ServerDirectory, 'all'>,
  listedIds: ReadonlySet<string>,
): readonly ServerRecord[] {
  return [...directory.all()].filter(({ id }) => !listedIds.has(id));
}
