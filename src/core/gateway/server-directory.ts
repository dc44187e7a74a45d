/**
 * The listed servers, by id. A server that restarts under the same id has a new boot, and state recorded for the
 * previous boot does not apply to it. A row of a boot that is known to have ended changes nothing.
 */
import { shortIdOf } from './short-id.js';

/** Which stage of a model request an engine runs. */
export type EngineStage = 'prefill' | 'decode';

/** Whether a server accepts new work. */
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
  /** Whether the server is a spot instance: cheaper, but may be withdrawn at short notice. */
  readonly isSpot: boolean;
  /** Undefined for plain web servers. */
  readonly stage: EngineStage | undefined;
  /** The start of this boot in Unix milliseconds, which distinguishes boots; undefined if the row has none. */
  readonly bornMs?: number | undefined;
  /** The version of its software, as distinct from that of its models; undefined if the row states none. */
  readonly softwareVersion?: string | undefined;
}

/** Why a row was skipped. */
export type SkipReason =
  /** A later boot of the same server is known. */
  | 'older-life'
  /** The row has no start time although earlier rows of this server had one: another writer wrote it. */
  | 'no-start';

/** A row that was skipped. */
export interface SkippedRow {
  readonly record: ServerRecord;
  readonly reason: SkipReason;
}

/** The fields of a server that identify its boot. */
export type ServerBoot = Pick<
  ServerRecord,
  'id' | 'service' | 'address' | 'bornMs' | 'softwareVersion'
>;

/** What changed in the directory. */
export interface DirectoryChange {
  readonly added: readonly ServerRecord[];
  readonly removed: readonly ServerRecord[];
  readonly changed: readonly ServerRecord[];
  /** Servers that restarted under the same id, as their new boots. */
  readonly restarted: readonly ServerRecord[];
  readonly skipped: readonly SkippedRow[];
  /** Rows of known boots, whether they show anything new or not. */
  readonly rewritten: readonly ServerRecord[];
}

/** How a row relates to the record that is known under its id. */
type RowRelation = 'new' | 'same-life' | 'new-life' | SkipReason;

/** The listed servers. */
export class ServerDirectory {
  readonly #byId = new Map<string, ServerRecord>();
  readonly #idsByShortId = new Map<string, string>();
  /** The previous boot of each restarted server, as it was last listed. */
  readonly #previousBoots = new Map<string, ServerRecord>();
  /** Ids that are not listed because their row no longer has a start time. */
  readonly #withoutStart = new Set<string>();

  get size(): number {
    return this.#byId.size;
  }

  get(id: string): ServerRecord | undefined {
    return this.#byId.get(id);
  }

  /** The full id of a listed server by its short id. */
  idOf(shortId: string): string | undefined {
    return this.#idsByShortId.get(shortId);
  }

  all(): IterableIterator<ServerRecord> {
    return this.#byId.values();
  }

  /** The servers of a service that accept new work. */
  readyOf(service: string): ServerRecord[] {
    const ready: ServerRecord[] = [];
    for (const record of this.#byId.values()) {
      if (record.service === service && record.state === 'ready') ready.push(record);
    }
    return ready;
  }

  /** Whether another boot of this server is listed now, so the given boot has ended. */
  isSuperseded(server: ServerRecord): boolean {
    const listed = this.#byId.get(server.id);
    return listed !== undefined && !isSameBoot(listed, server);
  }

  /** Whether a boot of a server accepted new work when it was last listed, even if a later boot is listed by now. */
  wasReady(server: ServerRecord): boolean {
    const boots = [this.#byId.get(server.id), this.#previousBoots.get(server.id)];
    return boots.find((boot) => boot !== undefined && isSameBoot(boot, server))?.state === 'ready';
  }

  /**
   * Replaces the list; servers that are not in it are removed.
   * @param latestStartMs a start time after this Unix time is not trusted: no other boot is older because of it
   */
  replaceAll(records: readonly ServerRecord[], latestStartMs?: number): DirectoryChange {
    const listed = new Set(records.map((record) => record.id));
    const known = [...this.#byId.keys(), ...this.#withoutStart];
    const removed = known.filter((id) => !listed.has(id));
    return this.apply(records, removed, latestStartMs);
  }

  /** Applies single changes; `latestStartMs` as in `replaceAll`. */
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
    const rewritten: ServerRecord[] = [];
    for (const record of records) {
      const known = this.#byId.get(record.id);
      const hadNoStart = this.#withoutStart.has(record.id) && record.bornMs === undefined;
      const relation = hadNoStart ? 'no-start' : relationOf(known, record, latestStartMs);
      switch (relation) {
        case 'new':
          this.#byId.set(record.id, record);
          this.#idsByShortId.set(shortIdOf(record.id), record.id);
          this.#withoutStart.delete(record.id);
          added.push(record);
          break;
        case 'same-life':
          this.#byId.set(record.id, record);
          rewritten.push(record);
          if (known?.state !== record.state || known.stage !== record.stage) changed.push(record);
          break;
        case 'new-life':
          if (known !== undefined) this.#previousBoots.set(record.id, known);
          this.#byId.set(record.id, record);
          restarted.push(record);
          break;
        case 'older-life':
          skipped.push({ record, reason: relation });
          break;
        case 'no-start':
          skipped.push({ record, reason: relation });
          removed.push(...this.#remove(record.id));
          this.#withoutStart.add(record.id);
          break;
      }
    }
    for (const id of removedIds) removed.push(...this.#remove(id));
    return { added, removed, changed, restarted, skipped, rewritten };
  }

  #remove(id: string): readonly ServerRecord[] {
    const known = this.#byId.get(id);
    this.#byId.delete(id);
    this.#idsByShortId.delete(shortIdOf(id));
    this.#previousBoots.delete(id);
    this.#withoutStart.delete(id);
    return known === undefined ? [] : [known];
  }
}

/** Identifies one boot of a server, the same at every daemon. */
export function bootIdOf({ id, bornMs }: ServerRecord): string {
  return bornMs === undefined ? id : `${id}@${bornMs}`;
}

/** A record with another service, address or software is another server, even if neither record has a start time. */
export function isSameBoot(one: ServerBoot, other: ServerBoot): boolean {
  const isSamePlace = one.address === other.address && one.service === other.service;
  const isSameSoftware = one.softwareVersion === other.softwareVersion;
  return isSamePlace && isSameSoftware && one.bornMs === other.bornMs;
}

function relationOf(
  known: ServerRecord | undefined,
  record: ServerRecord,
  latestStartMs: number,
): RowRelation {
  if (known === undefined) return 'new';
  if (isSameBoot(known, record)) return 'same-life';
  if (known.bornMs === undefined) return 'new-life';
  if (record.bornMs === undefined) return 'no-start';
  const isOlder = record.bornMs < known.bornMs && known.bornMs <= latestStartMs;
  return isOlder ? 'older-life' : 'new-life';
}
