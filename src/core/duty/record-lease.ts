/**
 * Who has a duty, by a lease on the duty's record in the store: the record names its holder, and each write of it
 * renews the lease.
 *
 * - A write is made on the version of the record last seen, so of two writers one wins.
 * - The fencing token in the record rises with each change of the holder, and with each life of it.
 * - The holder acts only for a part of the lease after a write that it knows to have been committed, counted from
 *   its sending. Others take over only from a record that has stood for the whole lease. So no two take turns within
 *   a lease.
 * - After the store has come back from an older copy its record names nobody: the last one may be lost. It is taken
 *   over as one that stands still, also where there is none. So in the first lease of an era nobody has a record of
 *   it, and a write on a version that was read within a lease meets no record of a later era.
 */
import { isFenceOf, nextFence } from '../platform/era-fence.js';
import { FIRST_ERA } from '../platform/store-position.js';

/** A part of the lease for which a holder may act after it has written the record. */
const AUTHORITY_SHARE = 0.7;

/** The head of a duty's record. */
export interface DutyRecord {
  readonly holder: string;
  /** The life of the holder's process. */
  readonly incarnation: number;
  readonly fence: number;
}

/** What a lease is built from. */
export interface RecordLeaseSettings {
  readonly daemon: string;
  readonly incarnation: number;
  readonly leaseMs: number;
}

/** What became of a call for the record. */
export type RecordOutcome<Content extends DutyRecord> =
  | {
      readonly kind: 'seen';
      /** Undefined where there is none. */
      readonly record: Content | undefined;
      readonly version: number;
      /** The era of the store that the version is of. */
      readonly era: number;
      /** Whether it is what this daemon has just written. */
      readonly isOwnWrite: boolean;
    }
  /** Nothing was done. */
  | { readonly kind: 'refused' }
  /** It may have been done. */
  | { readonly kind: 'lost' };

/** The record as it was last seen. */
export interface SeenRecord<Content extends DutyRecord> {
  readonly record: Content | undefined;
  /** 0 where there is none. */
  readonly version: number;
  /** The era of the store that the version is of. */
  readonly era: number;
  /** Since when it has stood like this, as far as this daemon knows. */
  readonly sinceMs: number;
}

/** One daemon's view of a duty's record, and whether it may act on it. */
export class RecordLease<Content extends DutyRecord> {
  readonly #settings: RecordLeaseSettings;
  #seen: SeenRecord<Content> | undefined;
  #isUncertain = true;
  #seenAtMs = Number.NEGATIVE_INFINITY;
  /** The highest token that was ever seen in the record. */
  #highestFence = 0;
  #authorityUntilMs = Number.NEGATIVE_INFINITY;
  /** The fence under which this daemon was told that another has a higher one. */
  #deposedFence = 0;

  constructor(settings: RecordLeaseSettings) {
    this.#settings = settings;
  }

  /** The record, or undefined while it has to be read first. */
  current(nowMs: number): SeenRecord<Content> | undefined {
    const isOld = nowMs - this.#seenAtMs >= this.#settings.leaseMs;
    return this.#isUncertain || isOld ? undefined : this.#seen;
  }

  /** Whether the record, as it was last seen, names this life of this daemon. */
  get isHolder(): boolean {
    const seen = this.#seen;
    return seen?.record !== undefined && this.#isOwn(seen.record, seen.era);
  }

  /** Whether this daemon may act as the holder now. */
  mayAct(nowMs: number): boolean {
    return this.isHolder && nowMs < this.#authorityUntilMs;
  }

  /** Whether this daemon may write the record: as its holder, or since it stands still. */
  mayWrite(nowMs: number): boolean {
    const seen = this.current(nowMs);
    if (seen === undefined) return false;
    const isFirst = seen.record === undefined && seen.era === FIRST_ERA;
    if (isFirst || this.isHolder) return true;
    return nowMs - seen.sinceMs >= this.#settings.leaseMs;
  }

  /** The head of the record that this daemon writes next. */
  nextHead(): DutyRecord {
    const { daemon, incarnation } = this.#settings;
    const { record, era = FIRST_ERA } = this.#seen ?? {};
    const heldFence = this.isHolder ? record?.fence : undefined;
    return { holder: daemon, incarnation, fence: heldFence ?? nextFence(era, this.#highestFence) };
  }

  /**
   * The record was read, or written, or could not be.
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
        this.#takeSeen(outcome, sentMs, nowMs);
    }
  }

  /** A call under this fence was refused, as another daemon has used a higher one. */
  recordDeposed(fence: number): void {
    this.#deposedFence = fence;
    this.#isUncertain = true;
  }

  /** The record has to be read before anything else is done. */
  requireRead(): void {
    this.#isUncertain = true;
  }

  #takeSeen(
    outcome: Extract<RecordOutcome<Content>, { kind: 'seen' }>,
    sentMs: number,
    nowMs: number,
  ): void {
    const { record, version, era, isOwnWrite } = outcome;
    const known = this.#seen;
    if (known !== undefined && era < known.era) return;
    const isKnown = known?.version === version && known.era === era;
    this.#seenAtMs = sentMs;
    this.#highestFence = Math.max(this.#highestFence, record?.fence ?? 0);
    this.#seen = { record, version, era, sinceMs: isKnown ? known.sinceMs : nowMs };
    if (isOwnWrite) this.#authorityUntilMs = sentMs + AUTHORITY_SHARE * this.#settings.leaseMs;
    else if (!isKnown) this.#authorityUntilMs = Number.NEGATIVE_INFINITY;
  }

  #isOwn({ holder, incarnation, fence }: DutyRecord, era: number): boolean {
    const { daemon, incarnation: ownIncarnation } = this.#settings;
    const isOfThisLife = holder === daemon && incarnation === ownIncarnation;
    return isOfThisLife && fence > this.#deposedFence && isFenceOf(era, fence);
  }
}
