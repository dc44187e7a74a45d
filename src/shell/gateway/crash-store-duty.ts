/**
 * Keeps the store's rows in line with the records, as a starting daemon has no other source of quarantined requests. The
 * daemon that quarantined a request writes its row; where that fails, the others try in turn.
 */
import type { CrashRecord, CrashRecords, PeerRoster } from '../../core/gateway/index.js';
import type { CrashTable } from './crash-table.js';
import { delay, type TimerService } from './timer-service.js';

const RETRY_MS = 500;
/** How long each daemon in the order for a request leaves the row to the one before it. */
const TURN_INTERVAL_MS = 1_000;
/** Daemons that try in turn; that the store is unavailable to all of these is not expected. */
const MAX_TURNS = 8;
/** How often one daemon reads which quarantines operators have lifted. */
const TABLE_READ_INTERVAL_MS = 10_000;

/** Options of a `CrashStoreDuty`. */
export interface CrashStoreDutyOptions {
  readonly records: CrashRecords;
  readonly table: CrashTable;
  readonly roster: Pick<PeerRoster, 'positionFor' | 'hasList'>;
  /** Reads all rows of the store, and applies them to the records. */
  readonly readRows: () => Promise<unknown>;
  /** Applies a row of the store to the records. */
  readonly applyRow: (row: CrashRecord) => void;
  readonly timers: TimerService;
}

/** One daemon's part in keeping the rows up to date. */
export class CrashStoreDuty {
  readonly #options: CrashStoreDutyOptions;
  readonly #stopped = new AbortController();
  readonly #inProgress = new Set<string>();

  constructor(options: CrashStoreDutyOptions) {
    this.#options = options;
  }

  stop(): void {
    this.#stopped.abort();
  }

  /**
   * Drops expired records. One daemon of the fleet also removes their rows and, while any request is quarantined, reads
   * which quarantines operators have lifted.
   */
  async run(): Promise<void> {
    const { records, roster, readRows, timers, table } = this.#options;
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      await delay(timers, TABLE_READ_INTERVAL_MS, signal);
      const isOwnTurn = !roster.hasList || roster.positionFor('crash records') === 0;
      for (const subject of records.removeExpired(timers.nowMs())) {
        if (isOwnTurn) await table.remove(subject, signal);
      }
      if (records.quarantined > 0 && isOwnTurn) await readRows();
    }
  }

  /** Writes or removes the row of a request that this daemon quarantined or cleared; retries until that is done. */
  async syncRow(subject: string): Promise<void> {
    const { records, table, timers } = this.#options;
    const { signal } = this.#stopped;
    if (this.#inProgress.has(subject)) return;
    this.#inProgress.add(subject);
    while (!signal.aborted) {
      const record = records.get(subject, timers.nowMs());
      if (record === undefined || record.isStored) break;
      const isDone = record.isQuarantined
        ? await this.#write(record)
        : await table.remove(subject, signal);
      const isSame = records.get(subject, timers.nowMs())?.clearings === record.clearings;
      if (isDone && isSame) records.markStored(subject);
      if (!isDone) await delay(timers, RETRY_MS, signal);
    }
    this.#inProgress.delete(subject);
  }

  /** @returns whether the store has the record now, or one that is as new */
  async #write(record: CrashRecord): Promise<boolean> {
    const { table, applyRow } = this.#options;
    const outcome = await table.write(record, this.#stopped.signal);
    switch (outcome.kind) {
      case 'stored':
        return true;
      case 'known':
        applyRow(outcome.known);
        return true;
      case 'failed':
        return false;
    }
  }

  /** Syncs the row in this daemon's turn, as the daemon that quarantined the request may not reach the store. */
  async syncRowAfterTurn(subject: string): Promise<void> {
    const { roster, timers } = this.#options;
    const turn = roster.positionFor(subject);
    if (turn >= MAX_TURNS) return;
    await delay(timers, (turn + 1) * TURN_INTERVAL_MS, this.#stopped.signal);
    await this.syncRow(subject);
  }
}
