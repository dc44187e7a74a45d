/** The transactional table: rows whose versions keep increasing across deletions. */
import type { TableCheck, TableRow, TableWrite } from '../../core/platform/table.js';

interface StoredRow {
  /** Incremented by each write, including deletions. */
  readonly version: number;
  /** Null after a deletion; the entry is retained so that no version is reused. */
  readonly value: unknown;
}

/** The result of a transaction. */
export type TransactOutcome =
  | { readonly committed: true; readonly rows: readonly TableRow[] }
  | { readonly committed: false; readonly rows: readonly TableRow[] };

/** The table, mutated in place. Values are not copied, so callers must not mutate them. */
export class VersionedTable {
  private readonly stored: Map<string, StoredRow>;

  constructor(rows: Iterable<readonly [string, StoredRow]> = []) {
    this.stored = new Map(rows);
  }

  /** An independent copy with the same rows and versions. */
  clone(): VersionedTable {
    return new VersionedTable(this.stored);
  }

  /** The rows of the keys, in order; an absent row has version 0 and value null. */
  get(keys: readonly string[]): readonly TableRow[] {
    return keys.map((key) => this.row(key));
  }

  /** The existing rows whose key starts with the prefix and is greater than `after`, in key order. */
  scan(prefix: string, limit: number, after = ''): readonly TableRow[] {
    const keys: string[] = [];
    for (const [key, row] of this.stored) {
      if (row.value !== null && key.startsWith(prefix) && key > after) keys.push(key);
    }
    return this.get(keys.sort().slice(0, limit));
  }

  /** Applies all writes if every check holds, and none otherwise. */
  transact(checks: readonly TableCheck[], writes: readonly TableWrite[]): TransactOutcome {
    const failed = checks.filter((check) => this.row(check.key).version !== check.version);
    if (failed.length > 0) {
      return { committed: false, rows: this.get(failed.map((check) => check.key)) };
    }
    for (const write of writes) this.write(write);
    return { committed: true, rows: this.get(writes.map((write) => write.key)) };
  }

  private write(write: TableWrite): void {
    const version = (this.stored.get(write.key)?.version ?? 0) + 1;
    this.stored.set(write.key, { version, value: write.value ?? null });
  }

  private row(key: string): TableRow {
    const row = this.stored.get(key);
    if (row === undefined || row.value === null) return { key, version: 0, value: null };
    return { key, version: row.version, value: row.value };
  }
}
