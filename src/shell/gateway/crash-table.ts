/**
 * The rows that the fleet keeps in the store on requests that crash servers: the key that their fingerprints are computed
 * with, and a row for each quarantined request. An operator lifts a quarantine by setting `isLifted` in its row.
 */
import { randomBytes } from 'node:crypto';
import * as z from 'zod/mini';
import {
  CRASH_RECORD_RETENTION_MS,
  type CrashRecord,
  MAX_NAME_LENGTH,
} from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { TableCall, TableResult, TableRow } from '../../core/platform/table.js';
import { problemOf, UnreadableRows } from '../../core/platform/unreadable-rows.js';
import type { GatewayLog } from './request-log.js';
import { callTable, readAllRows, type TableAccess } from './table-call.js';
import type { WallClock } from './timer-service.js';

const PREFIX = 'crash/';
/** Sorts before all fingerprints, so that the first page of a scan contains it. */
const KEY_ROW = `${PREFIX}!key`;
const KEY_BYTES = 32;
/** A secret of at least 16 bytes, so that an empty or truncated one is not used. */
const BASE64_KEY = /^[A-Za-z0-9+/]{22,}={0,2}$/;
/** Many times the crashes of which a record keeps the servers. */
const MAX_SERVERS = 64;

const keySchema = z.object({ key: z.string().check(z.regex(BASE64_KEY)) });
const rowSchema = z.object({
  serverIds: z
    .array(z.string().check(z.maxLength(MAX_NAME_LENGTH)))
    .check(z.maxLength(MAX_SERVERS)),
  clearings: z.number(),
  /** When the last of the servers ended, in milliseconds since the Unix epoch. */
  unixMs: z.number(),
  /** Set by operators. */
  isLifted: z._default(z.boolean(), false),
});

/** What the table holds. */
export interface CrashTableContent {
  /** Undefined while no daemon has created one, or while its row cannot be read. */
  readonly key: Buffer | undefined;
  /** The version of the key's row; 0 where there is none. */
  readonly keyVersion: number;
  /** Quarantines that an operator has lifted are included as cleared records. */
  readonly records: readonly CrashRecord[];
}

/** The outcome of a write. */
export type WriteOutcome =
  | { readonly kind: 'stored' }
  /** The store has a record that is as new, or that an operator has lifted. */
  | { readonly kind: 'known'; readonly known: CrashRecord }
  | { readonly kind: 'failed' };

/** Options of a `CrashTable`. */
export interface CrashTableOptions extends TableAccess {
  readonly wallClock: WallClock;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** The rows in the store. */
export class CrashTable {
  readonly #options: CrashTableOptions;
  readonly #unreadable = new UnreadableRows();

  constructor(options: CrashTableOptions) {
    this.#options = options;
  }

  /** @returns undefined where the store could not be read completely */
  async read(signal: AbortSignal): Promise<CrashTableContent | undefined> {
    const keys = new Set<string>();
    let key: Buffer | undefined;
    let keyVersion = 0;
    const records = await readAllRows(
      PREFIX,
      (page) => this.#call(page, signal),
      (row) => {
        keys.add(row.key);
        if (row.key !== KEY_ROW) return this.#read(row);
        key = this.#readKey(row);
        keyVersion = row.version;
        return [];
      },
    );
    if (records === undefined) return undefined;
    this.#unreadable.retain(keys);
    return { key, keyVersion, records };
  }

  /**
   * Writes the fingerprint key, unless the store has one already. A row that cannot be read is replaced: no daemon can have
   * used it.
   * @param seen what the store held
   * @param known the key that the fleet uses; by default a new one is created
   * @returns the key in the store; undefined where the outcome is unknown
   */
  async createKey(
    { keyVersion: version }: Pick<CrashTableContent, 'keyVersion'>,
    signal: AbortSignal,
    known: Buffer = randomBytes(KEY_BYTES),
  ): Promise<Buffer | undefined> {
    const value = { key: known.toString('base64') };
    const checks = [{ key: KEY_ROW, version }];
    const call: TableCall = { kind: 'transact', checks, writes: [{ key: KEY_ROW, value }] };
    const result = await this.#call(call, signal);
    switch (result.kind) {
      case 'committed':
      case 'conflict':
        return result.rows[0] && this.#readKey(result.rows[0]);
      case 'rows':
      case 'unavailable':
      case 'lost':
        return undefined;
    }
  }

  /** Writes a request's row; replaces only a row with fewer clearings, so that a lift by an operator stays. */
  async write(record: CrashRecord, signal: AbortSignal): Promise<WriteOutcome> {
    const { subject, crashes, clearings, ageMs } = record;
    const value: z.input<typeof rowSchema> = {
      serverIds: crashes.map(({ serverId }) => serverId),
      clearings,
      unixMs: Math.round(this.#options.wallClock() - ageMs),
    };
    const key = `${PREFIX}${subject}`;
    let version = 0;
    for (;;) {
      const checks = [{ key, version }];
      const result = await this.#call(
        { kind: 'transact', checks, writes: [{ key, value }] },
        signal,
      );
      if (result.kind === 'committed') return { kind: 'stored' };
      const row = result.kind === 'conflict' ? result.rows[0] : undefined;
      if (row === undefined || row.version === version) return { kind: 'failed' };
      const [known] = row.value === null ? [] : this.#read(row);
      if (known !== undefined && known.clearings >= clearings) return { kind: 'known', known };
      version = row.version;
    }
  }

  /** @returns whether the store has no row for the request any more */
  async remove(subject: string, signal: AbortSignal): Promise<boolean> {
    const writes = [{ key: `${PREFIX}${subject}`, value: null }];
    const result = await this.#call({ kind: 'transact', checks: [], writes }, signal);
    return result.kind === 'committed';
  }

  #readKey(row: TableRow): Buffer | undefined {
    const parsed = keySchema.safeParse(row.value);
    if (parsed.success) {
      this.#unreadable.remove(row.key);
      return Buffer.from(parsed.data.key, 'base64');
    }
    // An absent row is no unreadable one.
    if (row.value !== null) this.#recordUnreadable(row.key, problemOf(parsed.error));
    return undefined;
  }

  #read(row: TableRow): readonly CrashRecord[] {
    const subject = row.key.slice(PREFIX.length);
    const parsed = rowSchema.safeParse(row.value);
    if (!parsed.success) {
      this.#recordUnreadable(row.key, problemOf(parsed.error));
      return [];
    }
    this.#unreadable.remove(row.key);
    const { serverIds, clearings, unixMs, isLifted } = parsed.data;
    // The clocks of machines may be ahead or behind.
    const ageMs = Math.min(
      CRASH_RECORD_RETENTION_MS,
      Math.max(0, this.#options.wallClock() - unixMs),
    );
    const record = { subject, isStored: true, ageMs };
    if (isLifted) {
      return [{ ...record, crashes: [], isQuarantined: false, clearings: clearings + 1 }];
    }
    const crashes = serverIds.map((serverId) => ({ serverId, ageMs, ranMs: 0 }));
    return [{ ...record, crashes, isQuarantined: true, clearings }];
  }

  /** Logs each problem of a row once; the rows are read again and again while a request is quarantined. */
  #recordUnreadable(key: string, problem: string): void {
    if (!this.#unreadable.add(key, problem)) return;
    const subject = key.slice(PREFIX.length);
    const unreadable = this.#unreadable.count;
    this.#options.log.write(GATEWAY_EVENTS.crashRowMalformed, { subject, problem, unreadable });
  }

  async #call(call: TableCall, signal: AbortSignal): Promise<TableResult> {
    const { log } = this.#options;
    const result = await callTable(this.#options, call, signal);
    if ('reason' in result && !signal.aborted) {
      const { kind: outcome, reason } = result;
      log.write(GATEWAY_EVENTS.crashTableFailed, { call: call.kind, outcome, reason });
    }
    return result;
  }
}
