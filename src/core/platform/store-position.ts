/**
 * Places in the history of the platform's store. A store that comes back from an older copy gives its revisions out
 * again: what it then answers is of the next era, and a revision is compared within one era alone.
 */

/** The era of a store that tells none. */
export const FIRST_ERA = 0;

/** A revision of the store, within its era. */
export interface StorePosition {
  readonly era: number;
  readonly revision: number;
}

/** Whether two places are the same one. */
export function isSamePosition(one: StorePosition, other: StorePosition): boolean {
  return one.era === other.era && one.revision === other.revision;
}

/** Whether a place comes after another one. */
export function isAfter(one: StorePosition, other: StorePosition): boolean {
  return one.era === other.era ? one.revision > other.revision : one.era > other.era;
}
