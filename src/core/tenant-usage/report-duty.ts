/**
 * One daemon's part in reporting usage: of all daemons one holds the duty, and each window is reported once,
 * with one set of counts, whoever dies when.
 *
 * - What is to be reported is written to the duty's record first, on the version of the record last seen. So a
 *   window has one set of counts, and a successor sends the same again.
 * - The fencing token in the record rises with each change of the holder.
 * - The holder sends only for a part of the lease after a write of the record that it knows to have been
 *   committed, counted from its sending. Others take over only from a record that has stood for the whole lease.
 *   So no two take turns within a lease, and the writes that are needed anyway carry the lease: one a window.
 */

/** A part of the lease for which a holder may send after it has written the record. */
const AUTHORITY_SHARE = 0.7;

/** What the store keeps of the duty: its holder, and the newest window with what is reported of it. */
export interface UsageRecord {
  readonly holder: string;
  /** The life of the holder's process. */
  readonly incarnation: number;
  readonly fence: number;
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
}

/** What a duty is built from. */
export interface UsageDutySettings {
  readonly daemon: string;
  readonly incarnation: number;
  readonly leaseMs: number;
}

/** The moment, and what is known of the others. */
export interface UsageMoment {
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

/** What became of a call for the record. */
export type RecordOutcome =
  | {
      readonly kind: 'seen';
      readonly record: UsageRecord | undefined;
      readonly version: number;
      /** Whether it is what this daemon has just written. */
      readonly isOwnWrite: boolean;
    }
  /** Nothing was done. */
  | { readonly kind: 'refused' }
  /** It may have been done. */
  | { readonly kind: 'lost' };

/** What became of a report. */
export type ReportOutcome =
  | 'accepted'
  /** Another daemon has used a higher fencing token. */
  | 'deposed'
  /** It may have been taken, or not. */
  | 'unknown';

interface SeenRecord {
  readonly record: UsageRecord | undefined;
  readonly version: number;
  readonly sinceMs: number;
}

/** Decides; whoever drives it makes the calls, one at a time, and says what became of them. */
export class UsageDuty {
  readonly #settings: UsageDutySettings;
  #seen: SeenRecord | undefined;
  #isUncertain = true;
  #authorityUntilMs = Number.NEGATIVE_INFINITY;
  #reportedWindow = Number.NEGATIVE_INFINITY;
  /** The fence under which this daemon was told that another has a higher one. */
  #deposedFence = 0;

  constructor(settings: UsageDutySettings) {
    this.#settings = settings;
  }

  /** The newest window that this daemon knows to be reported. */
  get reportedWindow(): number {
    return this.#reportedWindow;
  }

  /** Whether the record, as it was last seen, names this life of this daemon. */
  get isHolder(): boolean {
    const record = this.#seen?.record;
    return record !== undefined && this.#isOwn(record);
  }

  /**
   * The next action.
   * @param collected the counts that were asked for; undefined while they come in
   */
  next(moment: UsageMoment, collected: CollectedCounts | undefined): UsageAction {
    const { dueWindow } = moment;
    this.#reportedWindow = Math.max(this.#reportedWindow, moment.reportedByOther);
    if (this.#reportedWindow >= dueWindow) return { kind: 'none' };
    const seen = this.#seen;
    if (seen === undefined || this.#isUncertain) return { kind: 'read' };
    if (!this.isHolder && !this.#mayTakeOver(seen, moment.nowMs)) return { kind: 'none' };
    return this.#nextAsHolder(seen, moment, collected);
  }

  /**
   * The record was read, or written, or could not be.
   * @param sentMs when the call was sent
   */
  takeRecord(outcome: RecordOutcome, sentMs: number, nowMs: number): void {
    switch (outcome.kind) {
      case 'refused':
        return;
      case 'lost':
        this.#isUncertain = true;
        return;
      case 'seen': {
        this.#isUncertain = false;
        const isKnown = this.#seen?.version === outcome.version;
        const sinceMs = isKnown ? (this.#seen?.sinceMs ?? nowMs) : nowMs;
        this.#seen = { record: outcome.record, version: outcome.version, sinceMs };
        if (outcome.isOwnWrite) {
          this.#authorityUntilMs = sentMs + AUTHORITY_SHARE * this.#settings.leaseMs;
        } else if (!isKnown) this.#authorityUntilMs = Number.NEGATIVE_INFINITY;
      }
    }
  }

  takeReport(outcome: ReportOutcome, record: UsageRecord): void {
    switch (outcome) {
      case 'accepted':
        this.#reportedWindow = Math.max(this.#reportedWindow, record.window);
        return;
      case 'deposed':
        this.#deposedFence = record.fence;
        this.#isUncertain = true;
        return;
      case 'unknown':
        return;
    }
  }

  #isOwn({ holder, incarnation, fence }: UsageRecord): boolean {
    const { settings } = { settings: this.#settings };
    const isNamed = holder === settings.daemon && incarnation === settings.incarnation;
    return isNamed && fence > this.#deposedFence;
  }

  #mayTakeOver({ record, sinceMs }: SeenRecord, nowMs: number): boolean {
    return record === undefined || nowMs - sinceMs >= this.#settings.leaseMs;
  }

  #nextAsHolder(
    seen: SeenRecord,
    moment: UsageMoment,
    collected: CollectedCounts | undefined,
  ): UsageAction {
    const { record } = seen;
    const isOpen =
      record !== undefined &&
      record.window > this.#reportedWindow &&
      record.window >= moment.oldestWindow;
    if (isOpen) {
      const isOwn = this.#isOwn(record);
      if (isOwn && moment.nowMs < this.#authorityUntilMs) return { kind: 'report', record };
      return this.#write(seen, record.window, record.counts);
    }
    const last = Math.max(record?.window ?? Number.NEGATIVE_INFINITY, this.#reportedWindow);
    const window = Math.max(last + 1, moment.oldestWindow);
    if (window > moment.dueWindow) return { kind: 'none' };
    if (collected?.window !== window) return { kind: 'collect', window };
    return this.#write(seen, window, collected.counts);
  }

  #write(seen: SeenRecord, window: number, counts: UsageRecord['counts']): UsageAction {
    const { daemon, incarnation } = this.#settings;
    const before = seen.record;
    const isSame = before !== undefined && this.#isOwn(before);
    const fence = (before?.fence ?? 0) + (isSame ? 0 : 1);
    const record = { holder: daemon, incarnation, fence, window, counts };
    return { kind: 'write', record, expectedVersion: seen.version };
  }
}

/** The counts of a window, from all daemons that answered. */
export interface CollectedCounts {
  readonly window: number;
  readonly counts: UsageRecord['counts'];
}
