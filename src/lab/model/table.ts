/**
 * The table service as an immutable value: the smallest table that conforms to docs/PLATFORM-API.md.
 */
import type { TableCall, TableResult, TableRow } from '../../core/platform/table.js';

/** All rows by key. A deleted row stays with value null, so that its versions keep increasing. */
export type ModelTable = Readonly<Record<string, TableRow>>;

/** A table without rows. */
export const EMPTY_TABLE: ModelTable = {};

/** A row as a read returns it; absent and deleted rows have version 0 and value null. */
export function rowOf(table: ModelTable, key: string): TableRow {
  const row = table[key];
  return row === undefined || row.value === null ? { key, version: 0, value: null } : row;
}

/** Applies a call and returns the changed table with the answer. */
export function applyCall(
  table: ModelTable,
  call: TableCall,
): { readonly table: ModelTable; readonly result: TableResult } {
  switch (call.kind) {
    case 'get':
      return { table, result: { kind: 'rows', rows: call.keys.map((key) => rowOf(table, key)) } };
    case 'scan': {
      const keys = Object.keys(table).filter((key) => {
        return key.startsWith(call.prefix) && rowOf(table, key).value !== null;
      });
      const rows = keys
        .sort()
        .slice(0, call.limit)
        .map((key) => rowOf(table, key));
      return { table, result: { kind: 'rows', rows } };
    }
    case 'transact':
      return transact(table, call);
  }
}

function transact(
  table: ModelTable,
  call: Extract<TableCall, { kind: 'transact' }>,
): { readonly table: ModelTable; readonly result: TableResult } {
  const failed = call.checks
    .filter((check) => rowOf(table, check.key).version !== check.version)
    .map((check) => rowOf(table, check.key));
  if (failed.length > 0) return { table, result: { kind: 'conflict', rows: failed } };
  const rows = call.writes.map(({ key, value }) => {
    return { key, version: (table[key]?.version ?? 0) + 1, value };
  });
  const written = Object.fromEntries(rows.map((row) => [row.key, row]));
  return { table: { ...table, ...written }, result: { kind: 'committed', rows } };
}
