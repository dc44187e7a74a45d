/**
 * One daemon's part in reporting usage. One daemon at a time holds the duty, and each window is reported with one set
 * of counts, whichever daemons fail. The counts are written to the duty's record before they are reported, so that a
 * successor reports the same counts again. These writes, one per window, also renew the lease.
 */
import {
  type DutyRecord,
  RecordLease,
  type RecordLeaseSettings,
  type RecordOutcome,
  type SeenRecord,
} from '../duty/index.js';

/** The duty's record in the store: the holder, and the newest window with its reported counts. */
export interface UsageRecord extends DutyRecord {
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
}

/** The current time, and the progress reported by other daemons. */
export interface UsageDutyInput {
  /** Monotonic clock. */
  readonly nowMs: number;
  /** The newest window that ended long enough ago for this daemon to report it if no other daemon has. */
  readonly dueWindow: number;
  /** The oldest window that can still be reported before its deadline. */
  readonly oldestWindow: number;
  /** The newest window that another daemon has announced as reported. */
  readonly reportedByOther: number;
}

/** The next action of the caller. */
export type UsageAction =
  | { readonly kind: 'none' }
  | { readonly kind: 'read' }
  /** Request the counts of a window from all daemons, and pass them to `next` once they have arrived. */
  | { readonly kind: 'collect'; readonly window: number }
  /** Write the record if it still has this version; 0 if it does not exist. */
  | { readonly kind: 'write'; readonly record: UsageRecord; readonly expectedVersion: number }
  | { readonly kind: 'report'; readonly record: UsageRecord };

/** The outcome of a report. */
export type ReportOutcome =
  | 'accepted'
  /** Another daemon has used a higher fencing token. */
  | 'deposed'
  /** The report may or may not have been accepted. */
  | 'unknown';

/** Decides the next action; the caller carries out one action at a time and passes back its outcome. */
export class UsageDuty {
  readonly #lease: RecordLease<UsageRecord>;
  #reportedWindow = Number.NEGATIVE_INFINITY;

  constructor(settings: RecordLeaseSettings) {
    this.#lease = new RecordLease(settings);
  }

  /** The newest window that this daemon knows to have been reported. */
  get reportedWindow(): number {
    return this.#reportedWindow;
  }

  get isHolder(): boolean {
    return this.#lease.isHolder;
  }

  /**
   * Decides the next action.
   * @param collected the counts that were requested by `collect`; undefined until they have arrived
   */
  next(moment: UsageDutyInput, collected: CollectedCounts | undefined): UsageAction {
    const { dueWindow, nowMs } = moment;
    this.#reportedWindow = Math.max(this.#reportedWindow, moment.reportedByOther);
    if (this.#reportedWindow >= dueWindow) return { kind: 'none' };
    const seen = this.#lease.current(nowMs);
    if (seen === undefined) return { kind: 'read' };
    if (!this.#lease.mayWrite(nowMs)) return { kind: 'none' };
    return this.#nextAsHolder(seen, moment, collected);
  }

  /**
   * Applies the outcome of a read or write of the record.
   * @param sentMs when the call was sent
   */
  applyRecord(outcome: RecordOutcome<UsageRecord>, sentMs: number, nowMs: number): void {
    this.#lease.applyOutcome(outcome, sentMs, nowMs);
  }

  recordReportOutcome(outcome: ReportOutcome, record: UsageRecord): void {
    switch (outcome) {
      case 'accepted':
        this.#reportedWindow = Math.max(this.#reportedWindow, record.window);
        return;
      case 'deposed':
        this.#lease.recordDeposed(record.fence);
        return;
      case 'unknown':
        return;
    }
  }

  #nextAsHolder(
    { record, version }: SeenRecord<UsageRecord>,
    moment: UsageDutyInput,
    collected: CollectedCounts | undefined,
  ): UsageAction {
    const isUnreported =
      record !== undefined &&
      record.window > this.#reportedWindow &&
      record.window >= moment.oldestWindow;
    if (isUnreported) {
      if (this.#lease.mayAct(moment.nowMs)) return { kind: 'report', record };
      return this.#write(version, record.window, record.counts);
    }
    const last = Math.max(record?.window ?? Number.NEGATIVE_INFINITY, this.#reportedWindow);
    const window = Math.max(last + 1, moment.oldestWindow);
    if (window > moment.dueWindow) return { kind: 'none' };
    if (collected?.window !== window) return { kind: 'collect', window };
    return this.#write(version, window, collected.counts);
  }

  #write(expectedVersion: number, window: number, counts: UsageRecord['counts']): UsageAction {
    const record = { ...this.#lease.nextHead(), window, counts };
    return { kind: 'write', record, expectedVersion };
  }
}

/** The summed counts of a window from all daemons that answered. */
export interface CollectedCounts {
  readonly window: number;
  readonly counts: UsageRecord['counts'];
}
