/** The simulated store's list of servers, in virtual time, as daemons read it over their links. */
import type { ServerRecord } from '../../../src/core/gateway/index.js';
import type { WatchAnswer, WatchedRow, WatchedTable } from '../../../src/shell/gateway/ports.js';
import type { StoreLink } from './store-link.js';
import type { VirtualTimers } from './virtual-timers.js';

/** A row of the simulated store; `value` is undefined where it is gone. */
interface StoredRow {
  readonly revision: number;
  readonly value: ServerRecord | undefined;
}

/** The list of servers in the store. */
export class ServersTable {
  readonly rows = new Map<string, StoredRow>();
  revision = 1;
  readonly #timers: VirtualTimers;
  readonly #changed = new Set<() => void>();

  constructor(timers: VirtualTimers) {
    this.#timers = timers;
  }

  write(id: string, value: ServerRecord | undefined): void {
    this.revision += 1;
    this.rows.set(id, { revision: this.revision, value });
    for (const notify of [...this.#changed]) notify();
  }

  rowsAfter(after: number): readonly WatchedRow<ServerRecord>[] {
    return [...this.rows].flatMap(([key, { revision, value }]): WatchedRow<ServerRecord>[] => {
      if (revision <= after) return [];
      return value === undefined ? [{ kind: 'gone', key }] : [{ kind: 'value', key, value }];
    });
  }

  /** Resolves at the next change or after `maxWaitMs`. */
  changed(maxWaitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        cancel();
        this.#changed.delete(finish);
        resolve();
      };
      const cancel = this.#timers.after(maxWaitMs, finish);
      this.#changed.add(finish);
    });
  }

  /** The table as a daemon reads it over its link. */
  over(link: StoreLink): WatchedTable<ServerRecord> {
    const answer = (after: number): WatchAnswer<ServerRecord> => {
      return { kind: 'rows', rows: this.rowsAfter(after), era: 0, revision: this.revision };
    };
    return {
      name: 'servers',
      readAll: (signal) =>
        link.call(signal, async () => {
          const all = answer(0);
          if (all.kind !== 'rows') return all;
          return { ...all, rows: all.rows.filter(({ kind }) => kind === 'value') };
        }),
      changesAfter: (after, waitMs, signal) =>
        link.call(signal, async () => {
          if (this.rowsAfter(after).length === 0) await this.changed(waitMs);
          return answer(after);
        }),
      decode: (key) => ({ kind: 'gone', key }),
    };
  }
}

/** A table that is empty and never changes. */
export function emptyTable(link: StoreLink, timers: VirtualTimers): WatchedTable<never> {
  const none = { kind: 'rows', rows: [], era: 0, revision: 1 } as const;
  return {
    name: 'configurations',
    readAll: (signal) => link.call<never>(signal, async () => none),
    changesAfter: (_after, waitMs, signal) =>
      link.call<never>(signal, async () => {
        await new Promise<void>((resolve) => timers.after(waitMs, resolve));
        return none;
      }),
    decode: (key) => ({ kind: 'gone', key }),
  };
}
