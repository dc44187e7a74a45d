/**
 * How far a daemon has followed a table of the store. All its revisions are of one era: what they said of the era
 * before says nothing of the next, in which they are given out again.
 */
import { FIRST_ERA, isAfter, type StorePosition } from '../platform/store-position.js';
import type { TableProgress } from './digest-schedule.js';

/** How the era of an answer relates to the one that is followed. */
export type EraRelation = 'first' | 'same' | 'older' | 'newer';

/** The revisions of one table. */
export class FollowedRevisions {
  #era: number | undefined;
  #seen: number | undefined;
  #changed = 0;
  #whole = 0;
  #reread = 0;
  #hasRead = false;

  /** The newest era that the store was heard in. */
  get era(): number {
    return this.#era ?? FIRST_ERA;
  }

  /** Up to where the table was followed; undefined while it has to be read whole. */
  get seen(): number | undefined {
    return this.#seen;
  }

  /** Whether the table was ever read whole, in any era. */
  get hasRead(): boolean {
    return this.#hasRead;
  }

  /** Where the table was last known to change. */
  get changed(): StorePosition {
    return { era: this.era, revision: this.#changed };
  }

  /** Where the table was last read whole. */
  get whole(): StorePosition {
    return { era: this.era, revision: this.#whole };
  }

  /** For others who follow the table. */
  get progress(): TableProgress {
    const seen = this.#seen ?? this.#changed;
    return { era: this.era, changed: this.#changed, seen, reread: this.#reread };
  }

  compareEra(answer: { readonly era: number }): EraRelation {
    if (this.#era === undefined) return 'first';
    if (answer.era === this.#era) return 'same';
    return answer.era > this.#era ? 'newer' : 'older';
  }

  /** The store is in another era: the table has to be read whole. */
  enterEra(era: number): void {
    this.#era = era;
    this.#seen = undefined;
    this.#changed = 0;
    this.#whole = 0;
    this.#reread = 0;
  }

  /** What was followed may lack changes: the table has to be read whole. */
  invalidate(): void {
    this.#seen = undefined;
  }

  /** Whether a read shows the table as of before a change that is known. */
  isStale(read: StorePosition): boolean {
    return isAfter(this.changed, read);
  }

  /** An answer up to a revision; a stale one sets nothing back. */
  advanceTo(revision: number): void {
    this.#seen = Math.max(this.#seen ?? 0, revision);
  }

  recordChange(revision: number): void {
    this.#changed = Math.max(this.#changed, revision);
  }

  /**
   * The table was read whole.
   * @param isToldToOthers whether those who rely on this daemon are to read it whole as well
   */
  resumeFrom(revision: number, isToldToOthers: boolean): void {
    this.#hasRead = true;
    this.#whole = revision;
    if (isToldToOthers) this.#reread = revision;
    this.recordChange(revision);
    this.advanceTo(revision);
  }

  /**
   * Another daemon has followed the table to there, and this one has all that it has.
   * @returns whether that was in the same era
   */
  adoptProgress({ era, changed, seen, reread }: TableProgress): boolean {
    if (era !== this.era) return false;
    this.#whole = Math.max(this.#whole, reread);
    this.recordChange(changed);
    this.advanceTo(seen);
    return true;
  }

  /** Whether changes that another daemon had join what was seen: nothing is left out or set back. */
  isContiguous({ era, after, revision }: StorePosition & { readonly after: number }): boolean {
    if (this.#seen === undefined || era !== this.era) return false;
    return after <= this.#seen && this.#seen < revision;
  }
}
