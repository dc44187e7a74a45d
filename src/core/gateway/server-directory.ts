/**
 * The servers there are, by their identity. A server's identity is its boot: another start, and
 * another server at a reused address, is another entry with nothing carried over.
 */

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
}

/** What changed in the directory. */
export interface DirectoryChange {
  readonly added: readonly ServerRecord[];
  readonly removed: readonly ServerRecord[];
  readonly changed: readonly ServerRecord[];
}

/** The listed servers, by service. */
export class ServerDirectory {
  readonly #byId = new Map<string, ServerRecord>();

  get size(): number {
    return this.#byId.size;
  }

  get(id: string): ServerRecord | undefined {
    return this.#byId.get(id);
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

  /** Takes the whole list: what it lacks is gone. */
  replaceAll(records: readonly ServerRecord[]): DirectoryChange {
    const listed = new Set(records.map((record) => record.id));
    const removed = [...this.#byId.keys()].filter((id) => !listed.has(id));
    return this.apply(records, removed);
  }

  /** Takes single changes. */
  apply(records: readonly ServerRecord[], removedIds: readonly string[]): DirectoryChange {
    const added: ServerRecord[] = [];
    const changed: ServerRecord[] = [];
    const removed: ServerRecord[] = [];
    for (const record of records) {
      const known = this.#byId.get(record.id);
      this.#byId.set(record.id, record);
      if (known === undefined) added.push(record);
      else if (known.state !== record.state || known.stage !== record.stage) changed.push(record);
    }
    for (const id of removedIds) {
      const known = this.#byId.get(id);
      if (known === undefined) continue;
      this.#byId.delete(id);
      removed.push(known);
    }
    return { added, removed, changed };
  }
}
