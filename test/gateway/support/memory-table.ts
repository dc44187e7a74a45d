/** The store's table service in memory: rows sorted by key, with compare-and-set on versions. */
import type { TableCall, TableResult, TableRow } from '../../../src/core/platform/table.js';

/** A table that a test can make unavailable or restore from a copy. */
export class MemoryTable {
  isDown = false;
  /** Transactions that were committed. */
  writes = 0;
  #rows = new Map<string, TableRow>();
  #version = 0;
  /** Rises with each restore from a copy. */
  #era = 0;

  get rows(): readonly TableRow[] {
    return [...this.#rows.values()].sort((left, right) => (left.key < right.key ? -1 : 1));
  }

  /** Writes a row without a version check; null removes it. */
  put(key: string, value: unknown): void {
    this.#version += 1;
    this.#set(key, value);
  }

  /** @returns a function that restores the table's current contents */
  copy(): () => void {
    const rows = new Map(this.#rows);
    const version = this.#version;
    return () => {
      this.#rows = new Map(rows);
      this.#version = version;
      this.#era += 1;
    };
  }

  call(call: TableCall): Promise<TableResult> {
    return Promise.resolve(this.answer(call));
  }

  /** The answer to a call at this moment. */
  answer(call: TableCall): TableResult {
    if (this.isDown) return { kind: 'unavailable', reason: 'down', retryAfterMs: 0 };
    const result = this.#resultOf(call);
    return this.#era > 0 && 'rows' in result ? { ...result, era: this.#era } : result;
  }

  #resultOf(call: TableCall): TableResult {
    switch (call.kind) {
      case 'get':
        return { kind: 'rows', rows: call.keys.map((key) => this.#row(key)) };
      case 'scan': {
        const { prefix, after = '', limit } = call;
        const found = this.rows.filter(({ key }) => key.startsWith(prefix) && key > after);
        const rows = found.slice(0, limit);
        const continueAfter = rows.length < found.length ? rows.at(-1)?.key : undefined;
        return { kind: 'rows', rows, continueAfter };
      }
      case 'transact': {
        const isCurrent = call.checks.every(
          ({ key, version }) => this.#row(key).version === version,
        );
        if (!isCurrent)
          return { kind: 'conflict', rows: call.checks.map(({ key }) => this.#row(key)) };
        this.writes += 1;
        this.#version += 1;
        for (const { key, value } of call.writes) this.#set(key, value);
        const rows = call.writes.map((write) => ({ ...write, version: this.#version }));
        return { kind: 'committed', rows };
      }
    }
  }

  /** All rows of one transaction get the same version. */
  #set(key: string, value: unknown): void {
    if (value === null) this.#rows.delete(key);
    else this.#rows.set(key, { key, value, version: this.#version });
  }

  #row(key: string): TableRow {
    return this.#rows.get(key) ?? { key, version: 0, value: null };
  }
}
