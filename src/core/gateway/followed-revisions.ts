/**
 * Tracks how far a daemon has followed a table of the store. All revisions belong to the current era: in the next era
 * the store assigns the same revision numbers again, so revisions of different eras cannot be compared.
 */
import { FIRST_ERA, isAfter, type StorePosition } from '../platform/store-position.js';
import type { TableProgress } from './digest-schedule.js';

/** How the era of an answer relates to the era that is followed. */
export type EraRelation = 'first' | 'same' | 'older' | 'newer';

/** The revisions of one table. */
export class FollowedRevisions {
  #era: number | undefined;
  #seen: number | undefined;
  #changed = 0;
  #whole = 0;
  #reread = 0;
  #hasRead = false;

  /** The newest era that the store has reported. */
  get era(): number {
    return this.#era ?? FIRST_ERA;
  }

  /** The revision up to which the table was followed; undefined while the table needs a full read. */
  get seen(): number | undefined {
    return this.#seen;
  }

  /** Whether the table was ever fully read, in any era. */
  get hasRead(): boolean {
    return this.#hasRead;
  }

  /** The position of the last known change of the table. */
  get changed(): StorePosition {
    return { era: this.era, revision: this.#changed };
  }

  /** The position of the last full read of the table. */
  get whole(): StorePosition {
    return { era: this.era, revision: this.#whole };
  }

  /** The progress that is advertised to other daemons that follow the table. */
  get progress(): TableProgress {
    const seen = this.#seen ?? this.#changed;
    return { era: this.era, changed: this.#changed, seen, reread: this.#reread };
  }

  compareEra(answer: { readonly era: number }): EraRelation {
    if (this.#era === undefined) return 'first';
    if (answer.era === this.#era) return 'same';
    return answer.era > this.#era ? 'newer' : 'older';
  }

  /** The store is in another era: the table needs a full read. */
  enterEra(era: number): void {
    this.#era = era;
    this.#seen = undefined;
    this.#changed = 0;
    this.#whole = 0;
    this.#reread = 0;
  }

  /** Changes may have been missed: the table needs a full read. */
  invalidate(): void {
    this.#seen = undefined;
  }

  /** Whether a read shows the table as it was before a change that is already known. */
  isStale(read: StorePosition): boolean {
    return isAfter(this.changed, read);
  }

  /** The table was followed up to a revision; an older revision changes nothing. */
  advanceTo(revision: number): void {
    this.#seen = Math.max(this.#seen ?? 0, revision);
  }

  recordChange(revision: number): void {
    this.#changed = Math.max(this.#changed, revision);
  }

  /**
   * The table was fully read; changes are followed from there.
   * @param isAdvertised whether daemons that rely on this one must fully read the table as well
   */
  resumeFrom(revision: number, isAdvertised: boolean): void {
    this.#hasRead = true;
    this.#whole = revision;
    if (isAdvertised) this.#reread = revision;
    this.recordChange(revision);
    this.advanceTo(revision);
  }

  /**
   * Adopts the progress of another daemon; this daemon must have all rows that the other one has.
   * @returns whether the progress is of the same era
   */
  adoptProgress({ era, changed, seen, reread }: TableProgress): boolean {
    if (era !== this.era) return false;
    this.#whole = Math.max(this.#whole, reread);
    this.recordChange(changed);
    this.advanceTo(seen);
    return true;
  }

  /** Whether changes from another daemon continue what was followed: they leave no gap and replace nothing newer. */
  isContiguous({ era, after, revision }: StorePosition & { readonly after: number }): boolean {
    if (this.#seen === undefined || era !== this.era) return false;
    return after <= this.#seen && this.#seen < revision;
  }
}
