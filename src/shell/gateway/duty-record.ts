/** Reads a duty's record in the store, and writes it by compare-and-set on its version. */
import type * as z from 'zod/mini';
import type { DutyRecord, RecordOutcome } from '../../core/duty/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import { FIRST_ERA } from '../../core/platform/store-position.js';
import type { TableCall, TableResult } from '../../core/platform/table.js';
import { problemOf, UnreadableRows } from '../../core/platform/unreadable-rows.js';
import type { TableService } from './ports.js';
import type { GatewayLog } from './request-log.js';
import { callTable } from './table-call.js';
import type { TimerService } from './timer-service.js';

/** Where a duty's record is stored, and how it is read. */
export interface DutyRecordOptions<Content extends DutyRecord> {
  readonly key: string;
  readonly schema: z.ZodMiniType<Content>;
  readonly table: TableService;
  /** Timers whose clock includes the time during which the machine was suspended: leases are counted by it. */
  readonly leaseTimers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** The outcome of a call and the time at which it was sent, from which a lease is counted. */
export interface SentOutcome<Content extends DutyRecord> {
  readonly outcome: RecordOutcome<Content>;
  readonly sentMs: number;
}

/** The row of one duty's record. */
export class DutyRecordRow<Content extends DutyRecord> {
  readonly #options: DutyRecordOptions<Content>;
  readonly #unreadable = new UnreadableRows();

  constructor(options: DutyRecordOptions<Content>) {
    this.#options = options;
  }

  read(signal: AbortSignal): Promise<SentOutcome<Content>> {
    return this.#call({ kind: 'get', keys: [this.#options.key] }, signal);
  }

  /** @param expectedVersion 0 where there is no record yet */
  write(
    record: Content,
    expectedVersion: number,
    signal: AbortSignal,
  ): Promise<SentOutcome<Content>> {
    const { key } = this.#options;
    const checks = [{ key, version: expectedVersion }];
    return this.#call({ kind: 'transact', checks, writes: [{ key, value: record }] }, signal);
  }

  async #call(call: TableCall, signal: AbortSignal): Promise<SentOutcome<Content>> {
    const { table, leaseTimers: timers } = this.#options;
    const sentMs = timers.nowMs();
    const result = await callTable({ table, timers }, call, signal);
    const outcome = this.#outcomeOf(result);
    if ('reason' in result) this.#logFailure(call.kind, result);
    return { outcome, sentMs };
  }

  /** A malformed record is treated like a refused call, so that no decision is made on it. */
  #outcomeOf(result: TableResult): RecordOutcome<Content> {
    switch (result.kind) {
      case 'unavailable':
        return { kind: 'refused' };
      case 'lost':
        return { kind: 'lost' };
      case 'rows':
      case 'conflict':
      case 'committed': {
        const row = result.rows[0];
        const value = row?.value ?? null;
        const version = row?.version ?? 0;
        const isOwnWrite = result.kind === 'committed';
        const seen = { kind: 'seen', version, era: result.era ?? FIRST_ERA, isOwnWrite } as const;
        const parsed = value === null ? undefined : this.#options.schema.safeParse(value);
        if (parsed?.success !== false) this.#unreadable.remove(this.#options.key);
        if (parsed === undefined) return { ...seen, record: undefined };
        if (parsed.success) return { ...seen, record: parsed.data };
        this.#logMalformed(problemOf(parsed.error));
        return { kind: 'refused' };
      }
    }
  }

  #logFailure(call: string, result: Extract<TableResult, { readonly reason: string }>): void {
    const { key, log } = this.#options;
    const { kind: outcome, reason } = result;
    log.write(GATEWAY_EVENTS.dutyRecordFailed, { duty: key, call, outcome, reason });
  }

  /** Logs each problem once: the record is read again and again. */
  #logMalformed(problem: string): void {
    const { key, log } = this.#options;
    if (!this.#unreadable.add(key, problem)) return;
    log.write(GATEWAY_EVENTS.dutyRecordMalformed, { duty: key, problem });
  }
}
