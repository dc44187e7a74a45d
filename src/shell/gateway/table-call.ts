/** Calls to the product's rows in the store: each ends after a time, and all rows of a prefix are read page by page. */
import type { TableCall, TableResult, TableRow } from '../../core/platform/table.js';
import type { TableService } from './ports.js';
import { callWithTimeout, type TimerService } from './timer-service.js';

const TABLE_TIMEOUT_MS = 1_500;
/** Rows of one page of a scan: as many as the store gives at once. */
const PAGE_ROWS = 500;

/** What a call needs. */
export interface TableAccess {
  readonly table: TableService;
  readonly timers: TimerService;
}

/** @param signal ends the call sooner; undefined when nothing but its time does */
export function callTable(
  { table, timers }: TableAccess,
  call: TableCall,
  signal: AbortSignal | undefined,
): Promise<TableResult> {
  return callWithTimeout(timers, TABLE_TIMEOUT_MS, signal, (ended) => table.call(call, ended));
}

/** All rows, or undefined where a page could not be had: a part of them is worse than an old reading. */
export async function readAllRows(
  prefix: string,
  callPage: (call: TableCall) => Promise<TableResult>,
): Promise<readonly TableRow[] | undefined> {
  const rows: TableRow[] = [];
  for (;;) {
    const after = rows.at(-1)?.key;
    const page = { kind: 'scan', prefix, limit: PAGE_ROWS } as const;
    const result = await callPage(after === undefined ? page : { ...page, after });
    if (result.kind !== 'rows') return undefined;
    rows.push(...result.rows);
    if (result.rows.length < PAGE_ROWS) return rows;
  }
}
