/**
 * The servers there are, by their identity. A server that starts again under its id is another life of it: what was
 * believed of the one before says nothing of this one. A row of a life that is known to be over changes nothing.
 */
import { shortIdOf } from './short-id.js';

/** Which part of a model request an engine does. */
export type EngineStage = 'prefill' | 'decode';

/** Whether a server takes new work. */
export type ServerState = 'ready' | 'draining';

/** A server as the platform lists it. */
export interface ServerRecord {
  readonly id: string;
  readonly service: string;
  /** IP:PORT. */
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly state: ServerState;
  /** Whether it costs less and may be taken away at short notice. */
  readonly isSpot: boolean;
  /** Undefined for plain web servers. */
  readonly stage: EngineStage | undefined;
  /** Unix milliseconds of its start, which tell its lives apart; undefined where its row does not say. */
  readonly bornMs?: number | undefined;
}

/** Why a row was not taken. */
export type SkipReason =
  /** A later life of the same server is known. */
  | 'older-life'
  /** It does not say when it started, though this server did before: another writer's. It names no server to use. */
  | 'no-start';

/** A row that was not taken. */
export interface SkippedRow {
  readonly record: ServerRecord;
  readonly reason: SkipReason;
}

/** What changed in the directory. */
export interface DirectoryChange {
  readonly added: readonly ServerRecord[];
  readonly removed: readonly ServerRecord[];
  readonly changed: readonly ServerRecord[];
  /** Started again under the id that they had; these are the new lives. */
  readonly restarted: readonly ServerRecord[];
  readonly skipped: readonly SkippedRow[];
}

/** How a row relates to what is known under its id. */
type RowMeaning = 'new' | 'same-life' | 'new-life' | SkipReason;

/** The listed servers, by service. */
export class ServerDirectory {
  readonly #byId = new Map<string, ServerRecord>();
  readonly #idsByShortId = new Map<string, string>();
  /** The life before the present one, as it was last listed. */
  readonly #before = new Map<string, ServerRecord>();
  /** Ids that are not listed, as their row says no more when they started. */
  readonly #startless = new Set<string>();

  get size(): number {
    return this.#byId.size;
  }

  get(id: string): ServerRecord | undefined {
    return this.#byId.get(id);
  }

  /** The id of a listed server that a message names by its short id. */
  idOf(shortId: string): string | undefined {
    return this.#idsByShortId.get(shortId);
  }

  all(): IterableIterator<ServerRecord> {
    return this.#byId.values();
  }

  /** The servers of a service that take new work. */
  readyOf(service: string): ServerRecord[] {
    const ready: ServerRecord[] = [];
    for (const record of this.#byId.values()) {
      if (record.service === service && record.state === 'ready') ready.push(record);
    }
    return ready;
  }

  /** Whether another life of this server is listed now: the one that is asked about has ended. */
  isSuperseded(server: ServerRecord): boolean {
    const listed = this.#byId.get(server.id);
    return listed !== undefined && !isSameBoot(listed, server);
  }

  /** Whether a life of a server took new work when it was last listed, also if another one has followed since. */
  wasReady(server: ServerRecord): boolean {
    const lives = [this.#byId.get(server.id), this.#before.get(server.id)];
    return lives.find((life) => life !== undefined && isSameBoot(life, server))?.state === 'ready';
  }

  /**
   * Takes the whole list: what it lacks is gone.
   * @param latestStartMs a start after this Unix time is not believed: it makes no other life an older one
   */
  replaceAll(records: readonly ServerRecord[], latestStartMs?: number): DirectoryChange {
    const listed = new Set(records.map((record) => record.id));
    const known = [...this.#byId.keys(), ...this.#startless];
    const removed = known.filter((id) => !listed.has(id));
    return this.apply(records, removed, latestStartMs);
  }

  /** Takes single changes; the arguments as for the whole list. */
  apply(
    records: readonly ServerRecord[],
    removedIds: readonly string[],
    latestStartMs = Number.POSITIVE_INFINITY,
  ): DirectoryChange {
    const added: ServerRecord[] = [];
    const changed: ServerRecord[] = [];
    const removed: ServerRecord[] = [];
    const restarted: ServerRecord[] = [];
    const skipped: SkippedRow[] = [];
    for (const record of records) {
      const known = this.#byId.get(record.id);
      const wasStartless = this.#startless.has(record.id) && record.bornMs === undefined;
      const meaning = wasStartless ? 'no-start' : meaningOf(known, record, latestStartMs);
      switch (meaning) {
        case 'new':
          this.#byId.set(record.id, record);
          this.#idsByShortId.set(shortIdOf(record.id), record.id);
          this.#startless.delete(record.id);
          added.push(record);
          break;
        case 'same-life':
          this.#byId.set(record.id, record);
          if (known?.state !== record.state || known.stage !== record.stage) changed.push(record);
          break;
        case 'new-life':
          if (known !== undefined) this.#before.set(record.id, known);
          this.#byId.set(record.id, record);
          restarted.push(record);
          break;
        case 'older-life':
          skipped.push({ record, reason: meaning });
          break;
        case 'no-start':
          skipped.push({ record, reason: meaning });
          removed.push(...this.#remove(record.id));
          this.#startless.add(record.id);
          break;
      }
    }
    for (const id of removedIds) removed.push(...this.#remove(id));
    return { added, removed, changed, restarted, skipped };
  }

  #remove(id: string): readonly ServerRecord[] {
    const known = this.#byId.get(id);
    this.#byId.delete(id);
    this.#idsByShortId.delete(shortIdOf(id));
    this.#before.delete(id);
    this.#startless.delete(id);
    return known === undefined ? [] : [known];
  }
}

/** A text of its own for each life of a server, the same at every daemon. */
export function bootIdOf({ id, bornMs }: ServerRecord): string {
  return bornMs === undefined ? id : `${id}@${bornMs}`;
}

/** Another service or address is another server, also where no start is told. */
export function isSameBoot(one: ServerRecord, other: ServerRecord): boolean {
  return (
    one.bornMs === other.bornMs && one.address === other.address && one.service === other.service
  );
}

function meaningOf(
  known: ServerRecord | undefined,
  record: ServerRecord,
  latestStartMs: number,
): RowMeaning {
  if (known === undefined) return 'new';
  if (isSameBoot(known, record)) return 'same-life';
  if (known.bornMs === undefined) return 'new-life';
  if (record.bornMs === undefined) return 'no-start';
  const isOlder = record.bornMs < known.bornMs && known.bornMs <= latestStartMs;
  return isOlder ? 'older-life' : 'new-life';
}
