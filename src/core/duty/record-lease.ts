/**
 * Decides which daemon holds a duty, by a lease on the duty's record in the store. The record names its holder, and
 * each write of the record renews the lease.
 *
 * - A write is conditional on the version of the record last seen, so only one of two concurrent writers succeeds.
 * - The fencing token in the record rises with each change of the holder, and with each incarnation of the holder.
 * - The holder acts only for a part of the lease duration after a write that it knows to have been committed, counted
 *   from the time when the write was sent. Other daemons take over only when the record has been unchanged for the
 *   full lease duration. So two holders never alternate within a lease duration.
 * - After the store was restored from an older copy, the newest record may be lost, so a record of an earlier era names
 *   no valid holder. It is taken over like an unchanged record, after a lease duration, and so is an absent record. So
 *   nobody writes a record in the first lease duration of an era, and a write that is conditional on a version read
 *   less than a lease duration ago cannot overwrite a record of a later era.
 */
import { isFenceOf, nextFence } from '../platform/era-fence.js';
import { FIRST_ERA } from '../platform/store-position.js';

/** The share of the lease duration for which a holder may act after it has written the record. */
const AUTHORITY_SHARE = 0.7;

/** The fields that each duty's record has. */
export interface DutyRecord {
  readonly holder: string;
  /** The incarnation of the holder's process. */
  readonly incarnation: number;
  readonly fence: number;
}

export interface RecordLeaseSettings {
  readonly daemon: string;
  readonly incarnation: number;
  readonly leaseMs: number;
}

/** The outcome of a read or write of the record. */
export type RecordOutcome<Content extends DutyRecord> =
  | {
      readonly kind: 'seen';
      /** Undefined if the record does not exist. */
      readonly record: Content | undefined;
      readonly version: number;
      /** The era of the store to which the version belongs. */
      readonly era: number;
      /** Whether this is the record that this daemon has just written. */
      readonly isOwnWrite: boolean;
    }
  /** The call had no effect. */
  | { readonly kind: 'refused' }
  /** The call may or may not have taken effect. */
  | { readonly kind: 'lost' };

/** The record as it was last seen. */
export interface SeenRecord<Content extends DutyRecord> {
  readonly record: Content | undefined;
  /** 0 if the record does not exist. */
  readonly version: number;
  /** The era of the store to which the version belongs. */
  readonly era: number;
  /** Since when the record has been unchanged, as far as this daemon knows. */
  readonly unchangedSinceMs: number;
}

/** One daemon's view of a duty's record, and whether the daemon may act as the duty's holder. */
export class RecordLease<Content extends DutyRecord> {
  readonly #settings: RecordLeaseSettings;
  #seen: SeenRecord<Content> | undefined;
  #isUncertain = true;
  #seenAtMs = Number.NEGATIVE_INFINITY;
  /** The highest fencing token that was ever seen in the record. */
  #highestFence = 0;
  #authorityUntilMs = Number.NEGATIVE_INFINITY;
  /** This daemon's fencing token that was last refused because another daemon has used a higher one. */
  #deposedFence = 0;

  constructor(settings: RecordLeaseSettings) {
    this.#settings = settings;
  }

  /** The record, or undefined if it must be read first. */
  current(nowMs: number): SeenRecord<Content> | undefined {
    const isOld = nowMs - this.#seenAtMs >= this.#settings.leaseMs;
    return this.#isUncertain || isOld ? undefined : this.#seen;
  }

  /** Whether the record, as last seen, names this incarnation of this daemon. */
  get isHolder(): boolean {
    const seen = this.#seen;
    return seen?.record !== undefined && this.#isOwn(seen.record, seen.era);
  }

  /** Whether this daemon may act as the duty's holder now. */
  mayAct(nowMs: number): boolean {
    return this.isHolder && nowMs < this.#authorityUntilMs;
  }

  /** Whether this daemon may write the record: as its holder, or because the record has been unchanged for a lease. */
  mayWrite(nowMs: number): boolean {
    const seen = this.current(nowMs);
    if (seen === undefined) return false;
    const isFirst = seen.record === undefined && seen.era === FIRST_ERA;
    if (isFirst || this.isHolder) return true;
    return nowMs - seen.unchangedSinceMs >= this.#settings.leaseMs;
  }

  /** The common fields of the next record that this daemon writes. */
  nextHead(): DutyRecord {
    const { daemon, incarnation } = this.#settings;
    const { record, era = FIRST_ERA } = this.#seen ?? {};
    const heldFence = this.isHolder ? record?.fence : undefined;
    return { holder: daemon, incarnation, fence: heldFence ?? nextFence(era, this.#highestFence) };
  }

  /**
   * Applies the outcome of a read or write of the record.
   * @param sentMs when the call was sent
   */
  applyOutcome(outcome: RecordOutcome<Content>, sentMs: number, nowMs: number): void {
    switch (outcome.kind) {
      case 'refused':
        return;
      case 'lost':
        this.#isUncertain = true;
        return;
      case 'seen':
        this.#isUncertain = false;
        this.#applySeen(outcome, sentMs, nowMs);
    }
  }

  /** Records that a call with this fencing token was refused, because another daemon has used a higher one. */
  recordDeposed(fence: number): void {
    this.#deposedFence = fence;
    this.#isUncertain = true;
  }

  /** Requires that the record is read before it is used again. */
  requireRead(): void {
    this.#isUncertain = true;
  }

  #applySeen(
    outcome: Extract<RecordOutcome<Content>, { kind: 'seen' }>,
    sentMs: number,
    nowMs: number,
  ): void {
    const { record, version, era, isOwnWrite } = outcome;
    const previous = this.#seen;
    if (previous !== undefined && era < previous.era) return;
    const isKnown = previous?.version === version && previous.era === era;
    this.#seenAtMs = sentMs;
    this.#highestFence = Math.max(this.#highestFence, record?.fence ?? 0);
    this.#seen = {
      record,
      version,
      era,
      unchangedSinceMs: isKnown ? previous.unchangedSinceMs : nowMs,
    };
    if (isOwnWrite) this.#authorityUntilMs = sentMs + AUTHORITY_SHARE * this.#settings.leaseMs;
    else if (!isKnown) this.#authorityUntilMs = Number.NEGATIVE_INFINITY;
  }

  #isOwn({ holder, incarnation, fence }: DutyRecord, era: number): boolean {
    const { daemon, incarnation: ownIncarnation } = this.#settings;
    const isOwnIncarnation = holder === daemon && incarnation === ownIncarnation;
    return isOwnIncarnation && fence > this.#deposedFence && isFenceOf(era, fence);
  }
}
