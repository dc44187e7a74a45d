/** Calls to the product's rows in the store. Each call has a time-out; the rows of a prefix are read page by page. */
import type { TableCall, TableResult, TableRow } from '../../core/platform/table.js';
import type { TableService } from './ports.js';
import { callWithTimeout, type TimerService } from './timer-service.js';

const TABLE_TIMEOUT_MS = 1_500;
/** Rows of one page of a scan: the most that the store returns in one answer. */
const PAGE_ROWS = 500;

const RESTORED_MEANWHILE = {
  kind: 'unavailable',
  reason: 'the store was restored from a copy between two reads',
  retryAfterMs: 0,
} as const satisfies TableResult;

/** The services that a call to the table needs. */
export interface TableAccess {
  readonly table: TableService;
  readonly timers: TimerService;
}

/** @param signal aborts the call; undefined if only the time-out ends it */
export async function callTable(
  access: TableAccess,
  call: TableCall,
  signal: AbortSignal | undefined,
): Promise<TableResult> {
  const result = await callOnce(access, call, signal);
  const isCut = result.kind === 'rows' && result.continueAfter !== undefined;
  if (call.kind !== 'get' || !isCut || call.keys.length === 1) return result;
  // Long rows of other writers lie between the keys; a row that the store left out would read as absent.
  const calls = call.keys.map((key) => callOnce(access, { kind: 'get', keys: [key] }, signal));
  return joined(await Promise.all(calls));
}

function callOnce(
  { table, timers }: TableAccess,
  call: TableCall,
  signal: AbortSignal | undefined,
): Promise<TableResult> {
  return callWithTimeout(timers, TABLE_TIMEOUT_MS, signal, (ended) => table.call(call, ended));
}

/** The rows of several answers, which must be of one era of the store. */
function joined(results: readonly TableResult[]): TableResult {
  const rows: TableRow[] = [];
  const eras = new Set<number | undefined>();
  for (const result of results) {
    if (result.kind !== 'rows') return result;
    rows.push(...result.rows);
    eras.add(result.era);
  }
  const [era] = eras;
  return eras.size > 1 ? RESTORED_MEANWHILE : { kind: 'rows', rows, era };
}

/**
 * What the rows of a prefix hold, or undefined if a page failed or was repeated: a partial list is worse than an earlier complete one.
 * @param readRow called for each row as its page arrives: the values of many long rows would not fit the heap
 */
export async function readAllRows<Item>(
  prefix: string,
  callPage: (call: TableCall) => Promise<TableResult>,
  readRow: (row: TableRow) => readonly Item[],
): Promise<readonly Item[] | undefined> {
  const items: Item[] = [];
  let after: string | undefined;
  do {
    const page = { kind: 'scan', prefix, limit: PAGE_ROWS } as const;
    const result = await callPage(after === undefined ? page : { ...page, after });
    if (result.kind !== 'rows') return undefined;
    const isSamePage = after !== undefined && result.continueAfter === after;
    if (isSamePage) return undefined;
    items.push(...result.rows.flatMap(readRow));
    after = result.continueAfter;
  } while (after !== undefined);
  return items;
}
