/**
 * Positions in the history of the platform's store. A store that was restored from an older copy issues some revisions
 * a second time. Each restore therefore starts a new era, and revisions are compared only within one era.
 */

/** The era of a store that reports none. */
export const FIRST_ERA = 0;

/** A revision of the store, within its era. */
export interface StorePosition {
  readonly era: number;
  readonly revision: number;
}

export function isSamePosition(one: StorePosition, other: StorePosition): boolean {
  return one.era === other.era && one.revision === other.revision;
}

/** Whether the first position is later than the second. */
export function isAfter(one: StorePosition, other: StorePosition): boolean {
  return one.era === other.era ? one.revision > other.revision : one.era > other.era;
}
