/**
 * Brings the store's rows of requests that end servers up to date after it came back from an older copy: the secret of
 * the fleet, requests that were quarantined since, and those that were cleared. Each daemon looks, one after the other,
 * so that no two make a secret and the store is not asked by all at once.
 */
import type { CrashRecords, PeerRoster } from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { CrashTable, CrashTableContent } from './crash-table.js';
import type { GatewayLog } from './request-log.js';
import { delay, type TimerService } from './timer-service.js';

/** Between the looks of two daemons. */
const TURN_MS = 50;
const RETRY_MS = 500;

/** What is needed for it. */
export interface CrashStoreRestoreOptions {
  readonly table: Pick<CrashTable, 'read' | 'createKey'>;
  readonly records: CrashRecords;
  readonly roster: Pick<PeerRoster, 'positionFor' | 'hasList'>;
  /** The secret that this daemon goes by; undefined while it has none. */
  readonly ownKey: () => Buffer | undefined;
  readonly takeKey: (key: Buffer) => void;
  /** Writes a request's row, or takes it away, as the record is. */
  readonly bringUpToDate: (fingerprint: string) => Promise<void>;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** One daemon's part in it. */
export class CrashStoreRestore {
  readonly #options: CrashStoreRestoreOptions;
  #stopped = new AbortController();
  #isStopped = false;

  constructor(options: CrashStoreRestoreOptions) {
    this.#options = options;
  }

  /** The store is back from an older copy; what was under way for the one before ends. */
  begin(): void {
    if (this.#isStopped) return;
    this.#stopped.abort();
    this.#stopped = new AbortController();
    void this.#run(this.#stopped.signal);
  }

  stop(): void {
    this.#isStopped = true;
    this.#stopped.abort();
  }

  async #run(signal: AbortSignal): Promise<void> {
    const { roster, timers, table } = this.#options;
    const turn = roster.hasList ? roster.positionFor('crash rows after a copy') : 0;
    await delay(timers, turn * TURN_MS, signal);
    while (!signal.aborted) {
      const content = await table.read(signal);
      const isDone = content !== undefined && (await this.#restoreKey(content, signal));
      if (isDone) return this.#restoreRecords(content, turn);
      await delay(timers, RETRY_MS, signal);
    }
  }

  /** The secret that the store has counts for all. @returns whether it has one */
  async #restoreKey(content: CrashTableContent, signal: AbortSignal): Promise<boolean> {
    const { table, ownKey, takeKey, log } = this.#options;
    const own = ownKey();
    // A daemon that has none yet is reading it, or makes it.
    if (own === undefined) return true;
    const stored = content.key ?? (await table.createKey(signal, own));
    if (stored === undefined) return false;
    const isOther = !stored.equals(own);
    if (isOther) takeKey(stored);
    const isWritten = content.key === undefined && !isOther;
    if (isOther || isWritten) log.write(GATEWAY_EVENTS.fingerprintKeyRestored, { isWritten });
    return true;
  }

  #restoreRecords({ records: stored }: CrashTableContent, turn: number): void {
    const { records, timers, bringUpToDate, log } = this.#options;
    const storedNames = new Set(
      stored.filter(({ isQuarantined }) => isQuarantined).map(({ fingerprint }) => fingerprint),
    );
    const differing = records
      .all(timers.nowMs())
      .filter(({ fingerprint, isQuarantined }) => isQuarantined !== storedNames.has(fingerprint));
    for (const { fingerprint } of differing) {
      records.markNotStored(fingerprint);
      void bringUpToDate(fingerprint);
    }
    log.write(GATEWAY_EVENTS.crashRowsRestored, { turn, rewritten: differing.length });
  }
}
