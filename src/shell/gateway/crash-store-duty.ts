/**
 * Keeps the store's rows as the records are: a daemon that starts knows of quarantined requests from nowhere else. Who
 * found one out writes its row; where that does not come about, the others take turns.
 */
import type { CrashRecord, CrashRecords, PeerRoster } from '../../core/gateway/index.js';
import type { CrashTable } from './crash-table.js';
import { delay, type TimerService } from './timer-service.js';

const RETRY_MS = 500;
/** Each daemon in the order for a request leaves the one before it so long. */
const TURN_MS = 1_000;
/** So many daemons that the store turns away one after the other are not to be expected. */
const MOST_TURNS = 8;
/** How often one daemon looks for what operators have lifted. */
const LOOK_GAP_MS = 10_000;

/** What the duty needs. */
export interface CrashStoreDutyOptions {
  readonly records: CrashRecords;
  readonly table: CrashTable;
  readonly roster: Pick<PeerRoster, 'positionFor' | 'hasList'>;
  /** Reads all rows that the store has. */
  readonly readRows: () => Promise<unknown>;
  /** Told of a row that the store has. */
  readonly takeRow: (row: CrashRecord) => void;
  readonly timers: TimerService;
}

/** One daemon's part in it. */
export class CrashStoreDuty {
  readonly #options: CrashStoreDutyOptions;
  readonly #stopped = new AbortController();
  readonly #underWay = new Set<string>();

  constructor(options: CrashStoreDutyOptions) {
    this.#options = options;
  }

  stop(): void {
    this.#stopped.abort();
  }

  /** Looks for what operators have lifted, as one daemon of the fleet, while there is anything to lift. */
  async run(): Promise<void> {
    const { records, roster, readRows, timers, table } = this.#options;
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      await delay(timers, LOOK_GAP_MS, signal);
      const isOwnTurn = !roster.hasList || roster.positionFor('crash records') === 0;
      for (const fingerprint of records.dropOld(timers.nowMs())) {
        if (isOwnTurn) await table.remove(fingerprint, signal);
      }
      if (records.quarantined > 0 && isOwnTurn) await readRows();
    }
  }

  /** This daemon found out that a request is quarantined, or is no longer. */
  async bringUpToDate(fingerprint: string): Promise<void> {
    const { records, table, timers } = this.#options;
    const { signal } = this.#stopped;
    if (this.#underWay.has(fingerprint)) return;
    this.#underWay.add(fingerprint);
    while (!signal.aborted) {
      const record = records.get(fingerprint, timers.nowMs());
      if (record === undefined || record.isStored) break;
      const isDone = record.isQuarantined
        ? await this.#write(record)
        : await table.remove(fingerprint, signal);
      const isSame = records.get(fingerprint, timers.nowMs())?.clearings === record.clearings;
      if (isDone && isSame) records.markStored(fingerprint);
      if (!isDone) await delay(timers, RETRY_MS, signal);
    }
    this.#underWay.delete(fingerprint);
  }

  /** @returns whether the store has it now, or one as new */
  async #write(record: CrashRecord): Promise<boolean> {
    const { table, takeRow } = this.#options;
    const outcome = await table.write(record, this.#stopped.signal);
    switch (outcome.kind) {
      case 'stored':
        return true;
      case 'known':
        takeRow(outcome.known);
        return true;
      case 'failed':
        return false;
    }
  }

  /** Another daemon found it out, and may not reach the store. */
  async standIn(fingerprint: string): Promise<void> {
    const { roster, timers } = this.#options;
    const turn = roster.positionFor(fingerprint);
    if (turn >= MOST_TURNS) return;
    await delay(timers, (turn + 1) * TURN_MS, this.#stopped.signal);
    await this.bringUpToDate(fingerprint);
  }
}
