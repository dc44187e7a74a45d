/**
 * Corrects the list of servers after the store was restored from an older copy. Until servers write their rows again,
 * the list may show as ready a server that has left or is draining, and may lack a server that joined after the copy.
 *
 * - A server that is known to be draining keeps draining.
 * - A server that left without draining first is listed again only if its row outlives the time after which rows that
 *   nobody refreshes expire.
 * - A server that is missing from the list is kept for the time that servers take to write their rows again.
 */
import { REWRITTEN_MS } from './expired-rows.js';
import {
  type DirectoryChange,
  isSameBoot,
  type ServerDirectory,
  type ServerRecord,
} from './server-directory.js';

const EXPIRY_SHARE_OF_CONTACT = 1.5;
/**
 * How long a removed server is remembered. A copy is some seconds old and an outage of the store may add to that; a
 * server that was removed longer ago has no row in the copy.
 */
const LEFT_RETENTION_MS = 120_000;
/** Removed servers that are remembered; beyond this number the earliest removed are forgotten. */
const MAX_LEFT = 4_096;

/** Servers as read from the store. */
export interface ReadServers {
  readonly records: readonly ServerRecord[];
  /** The ids of all rows of the table, including malformed rows; undefined if only changes were read. */
  readonly listedIds: ReadonlySet<string> | undefined;
}

/** Why the list differs from what was read. */
export type RestoredReason =
  /** The server is listed as ready, but is known to be draining. */
  | 'leaves'
  /** The server is listed as ready, but is known to have left. */
  | 'left'
  /** The server is not listed, but is known. */
  | 'missing';

/** A server whose row was corrected. */
export interface RestoredServer {
  readonly server: ServerRecord;
  readonly reason: RestoredReason;
}

/** The list after correction. */
export interface CorrectedServers {
  readonly records: readonly ServerRecord[];
  readonly corrected: readonly RestoredServer[];
}

interface LeftServer {
  readonly server: ServerRecord;
  readonly leftMs: number;
}

/** Remembers what this daemon knows of servers that an older copy of the store may not show. */
export class RestoredServers {
  readonly #expiryMs: number;
  readonly #left = new Map<string, LeftServer>();
  #sinceMs: number | undefined;

  /** @param contactMs the time after a disturbance within which a daemon is back in contact with the store */
  constructor(contactMs: number) {
    this.#expiryMs = rowExpiryMs(contactMs);
  }

  /** Delays after the store's return at which the list is to be read again, as a correction ends at each of them. */
  get rereadDelaysMs(): readonly number[] {
    return [REWRITTEN_MS, this.#expiryMs];
  }

  /** The store was restored from an older copy. */
  begin(nowMs: number): void {
    this.#sinceMs = nowMs;
  }

  /** Records a change of the directory. */
  recordChange({ added, removed }: DirectoryChange, nowMs: number): void {
    for (const { id } of added) this.#left.delete(id);
    for (const server of removed) {
      this.#left.delete(server.id);
      this.#left.set(server.id, { server, leftMs: nowMs });
    }
    for (const [id, { leftMs }] of this.#left) {
      const isRetained = nowMs - leftMs < LEFT_RETENTION_MS && this.#left.size <= MAX_LEFT;
      if (isRetained) break;
      this.#left.delete(id);
    }
  }

  /** Corrects a list; returns it as read if the store was never restored from a copy. */
  correct(
    { records, listedIds }: ReadServers,
    directory: Pick<ServerDirectory, 'get' | 'all'>,
    nowMs: number,
  ): CorrectedServers {
    if (this.#sinceMs === undefined) return { records, corrected: [] };
    const sinceReturnMs = nowMs - this.#sinceMs;
    const isComplete = listedIds !== undefined;
    const accepted: ServerRecord[] = [];
    const corrected: RestoredServer[] = [];
    for (const record of records) {
      const reason = this.#reasonOf(record, directory.get(record.id), sinceReturnMs, isComplete);
      if (reason === undefined) accepted.push(record);
      else corrected.push({ server: record, reason });
      if (reason === 'leaves') accepted.push({ ...record, state: 'draining' });
    }
    const missing =
      isComplete && sinceReturnMs < REWRITTEN_MS ? missingOf(directory, listedIds) : [];
    return {
      records: [...accepted, ...missing],
      corrected: [
        ...corrected,
        ...missing.map((server) => ({ server, reason: 'missing' }) as const),
      ],
    };
  }

  #reasonOf(
    record: ServerRecord,
    known: ServerRecord | undefined,
    sinceReturnMs: number,
    isComplete: boolean,
  ): RestoredReason | undefined {
    if (record.state === 'draining') return undefined;
    if (known !== undefined) {
      return known.state === 'draining' && isSameBoot(known, record) ? 'leaves' : undefined;
    }
    const left = this.#left.get(record.id)?.server;
    if (left === undefined || !isSameBoot(left, record)) return undefined;
    if (left.state === 'draining') return 'left';
    // A single change, unlike a row of a full read, was written by the server itself after the store's return.
    return isComplete && sinceReturnMs < this.#expiryMs ? 'left' : undefined;
  }
}

/** The time after which a row that its server does not renew has expired. */
export function rowExpiryMs(contactMs: number): number {
  return contactMs * EXPIRY_SHARE_OF_CONTACT;
}

function missingOf(
  directory: Pick<ServerDirectory, 'all'>,
  listedIds: ReadonlySet<string>,
): readonly ServerRecord[] {
  return [...directory.all()].filter(({ id }) => !listedIds.has(id));
}
