/**
 * Brings the store's crash rows up to date after the store was restored from an older copy: the fleet's fingerprint key,
 * the requests that were quarantined since the copy, and those that were cleared. The daemons check the rows one after
 * another, so that no two create a key and the store is not read by all at once.
 */
import type { CrashRecords, PeerRoster } from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { CrashTable, CrashTableContent } from './crash-table.js';
import { runInBackground } from './internal-faults.js';
import type { GatewayLog } from './request-log.js';
import { delay, type TimerService } from './timer-service.js';

/** Interval between the checks of two daemons. */
const TURN_INTERVAL_MS = 50;
const RETRY_MS = 500;

/** Options of a `CrashStoreRestore`. */
export interface CrashStoreRestoreOptions {
  readonly table: Pick<CrashTable, 'read' | 'createKey'>;
  readonly records: CrashRecords;
  readonly roster: Pick<PeerRoster, 'positionFor' | 'hasList'>;
  /** The key that this daemon computes fingerprints with; undefined while it has none. */
  readonly ownKey: () => Buffer | undefined;
  readonly adoptKey: (key: Buffer) => void;
  /** Writes or removes a request's row, in line with its record. */
  readonly syncRow: (subject: string) => Promise<void>;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** One daemon's part in restoring the rows. */
export class CrashStoreRestore {
  readonly #options: CrashStoreRestoreOptions;
  #stopped = new AbortController();
  #isStopped = false;

  constructor(options: CrashStoreRestoreOptions) {
    this.#options = options;
  }

  /** The store was restored from an older copy; work for an earlier restore is aborted. */
  begin(): void {
    if (this.#isStopped) return;
    this.#stopped.abort();
    this.#stopped = new AbortController();
    const { log } = this.#options;
    runInBackground(log, 'restore crash rows', this.#run(this.#stopped.signal));
  }

  stop(): void {
    this.#isStopped = true;
    this.#stopped.abort();
  }

  async #run(signal: AbortSignal): Promise<void> {
    const { roster, timers, table } = this.#options;
    const turn = roster.hasList ? roster.positionFor('crash rows after a copy') : 0;
    await delay(timers, turn * TURN_INTERVAL_MS, signal);
    while (!signal.aborted) {
      const content = await table.read(signal);
      const isDone = content !== undefined && (await this.#restoreKey(content, signal));
      if (isDone) return this.#restoreRecords(content, turn);
      await delay(timers, RETRY_MS, signal);
    }
  }

  /** All daemons use the key that the store has. @returns whether the key needs no further attempt */
  async #restoreKey(content: CrashTableContent, signal: AbortSignal): Promise<boolean> {
    const { table, ownKey, adoptKey, log } = this.#options;
    const own = ownKey();
    // A daemon without a key is still reading or creating one.
    if (own === undefined) return true;
    const stored = content.key ?? (await table.createKey(content, signal, own));
    if (stored === undefined) return false;
    const isOther = !stored.equals(own);
    if (isOther) adoptKey(stored);
    const isWritten = content.key === undefined && !isOther;
    if (isOther || isWritten) log.write(GATEWAY_EVENTS.fingerprintKeyRestored, { isWritten });
    return true;
  }

  #restoreRecords({ records: stored }: CrashTableContent, turn: number): void {
    const { records, timers, syncRow, log } = this.#options;
    const storedSubjects = new Set(
      stored.filter(({ isQuarantined }) => isQuarantined).map(({ subject }) => subject),
    );
    const differing = records
      .quarantinedOrCleared(timers.nowMs())
      .filter(({ subject, isQuarantined }) => isQuarantined !== storedSubjects.has(subject));
    for (const { subject } of differing) {
      records.markNotStored(subject);
      runInBackground(log, 'write a crash row', syncRow(subject));
    }
    log.write(GATEWAY_EVENTS.crashRowsRestored, { turn, rewritten: differing.length });
  }
}
