/**
 * What the fleet keeps in the store of requests that end servers: the secret that their fingerprints are keyed with,
 * and one row for each request that is no longer sent.
 */
import { randomBytes } from 'node:crypto';
import * as z from 'zod/mini';
import type { TableCall, TableResult, TableRow } from '../../core/platform/table.js';
import type { TableService } from './ports.js';
import { callWithin, type TimerService } from './timer-service.js';

const PREFIX = 'crash/';
/** Sorts before all fingerprints, so that the first page of a scan has it. */
const KEY_ROW = `${PREFIX}!key`;
const KEY_BYTES = 32;
const CALL_TIMEOUT_MS = 1_500;
/** Rows of one page of a scan: as many as the store gives at once. */
const PAGE_ROWS = 500;

const keySchema = z.object({ key: z.string() });

/** What the table holds. */
export interface CrashTableContent {
  /** Undefined where no daemon has made one yet. */
  readonly key: Buffer | undefined;
}

/** The rows in the store. */
export class CrashTable {
  readonly #table: TableService;
  readonly #timers: TimerService;

  constructor(table: TableService, timers: TimerService) {
    this.#table = table;
    this.#timers = timers;
  }

  /** Undefined where the store could not be read. */
  async read(signal: AbortSignal): Promise<CrashTableContent | undefined> {
    const result = await this.#call({ kind: 'scan', prefix: PREFIX, limit: PAGE_ROWS }, signal);
    if (result.kind !== 'rows') return undefined;
    return { key: keyOf(result.rows) };
  }

  /** Makes the secret, unless another daemon was first; undefined where neither is certain. */
  async createKey(signal: AbortSignal): Promise<Buffer | undefined> {
    const value = { key: randomBytes(KEY_BYTES).toString('base64') };
    const call: TableCall = {
      kind: 'transact',
      checks: [{ key: KEY_ROW, version: 0 }],
      writes: [{ key: KEY_ROW, value }],
    };
    const result = await this.#call(call, signal);
    switch (result.kind) {
      case 'committed':
      case 'conflict':
        return keyOf(result.rows);
      case 'rows':
      case 'unavailable':
      case 'lost':
        return undefined;
    }
  }

  #call(call: TableCall, signal: AbortSignal): Promise<TableResult> {
    return callWithin(this.#timers, CALL_TIMEOUT_MS, signal, (ended) =>
      this.#table.call(call, ended),
    );
  }
}

function keyOf(rows: readonly TableRow[]): Buffer | undefined {
  const row = rows.find(({ key }) => key === KEY_ROW);
  const parsed = keySchema.safeParse(row?.value);
  return parsed.success ? Buffer.from(parsed.data.key, 'base64') : undefined;
}
