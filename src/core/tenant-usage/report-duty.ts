/**
 * One daemon's part in reporting usage: of all daemons one holds the duty, and each window is reported once,
 * with one set of counts, whoever dies when. What is to be reported is written to the duty's record first; so a
 * window has one set of counts, a successor sends the same again, and the writes that are needed anyway carry the
 * lease: one a window.
 */
import {
  type DutyRecord,
  RecordLease,
  type RecordLeaseSettings,
  type RecordOutcome,
  type SeenRecord,
} from '../duty/index.js';

/** What the store keeps of the duty: its holder, and the newest window with what is reported of it. */
export interface UsageRecord extends DutyRecord {
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
}

/** The moment, and what is known of the others. */
export interface UsageDutyInput {
  /** Steady clock. */
  readonly nowMs: number;
  /** The newest window that is over for so long that this daemon reports it if no other has. */
  readonly dueWindow: number;
  /** The oldest window that can still be reported in time. */
  readonly oldestWindow: number;
  /** The newest window that another daemon says it has reported. */
  readonly reportedByOther: number;
}

/** What is to be done next. */
export type UsageAction =
  | { readonly kind: 'none' }
  /** Read the record. */
  | { readonly kind: 'read' }
  /** Ask the daemons for their counts of a window, and say when they are in. */
  | { readonly kind: 'collect'; readonly window: number }
  /** Write the record if it is still at this version; 0 where there is none. */
  | { readonly kind: 'write'; readonly record: UsageRecord; readonly expectedVersion: number }
  /** Send the report. */
  | { readonly kind: 'report'; readonly record: UsageRecord };

/** What became of a report. */
export type ReportOutcome =
  | 'accepted'
  /** Another daemon has used a higher fencing token. */
  | 'deposed'
  /** It may have been taken, or not. */
  | 'unknown';

/** Decides; whoever drives it makes the calls, one at a time, and says what became of them. */
export class UsageDuty {
  readonly #lease: RecordLease<UsageRecord>;
  #reportedWindow = Number.NEGATIVE_INFINITY;

  constructor(settings: RecordLeaseSettings) {
    this.#lease = new RecordLease(settings);
  }

  /** The newest window that this daemon knows to be reported. */
  get reportedWindow(): number {
    return this.#reportedWindow;
  }

  get isHolder(): boolean {
    return this.#lease.isHolder;
  }

  /**
   * The next action.
   * @param collected the counts that were asked for; undefined while they come in
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
   * The record was read, or written, or could not be.
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
    const isOpen =
      record !== undefined &&
      record.window > this.#reportedWindow &&
      record.window >= moment.oldestWindow;
    if (isOpen) {
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

/** The counts of a window, from all daemons that answered. */
export interface CollectedCounts {
  readonly window: number;
  readonly counts: UsageRecord['counts'];
}
