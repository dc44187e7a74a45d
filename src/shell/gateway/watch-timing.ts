/**
 * How long the watches of the store's tables hold a call and wait after one that failed, by what the daemon
 * does for the others. All of it is a part of `contactMs`: so long after a disturbance a daemon has to know
 * what the store holds.
 */

/** What a daemon does in following the store's tables. */
export type WatchRole =
  /** Its fleet is small: each daemon follows the tables by itself. */
  | 'alone'
  /** It follows them for its zone. */
  | 'relay'
  /** It relies on the relay of its zone. */
  | 'follower';

/** Times of a watch. */
export interface WatchTiming {
  /** How long the store holds a call while nothing changes. */
  readonly holdMs: number;
  /** The longest wait before a call that failed is made again. */
  readonly longestRetryMs: number;
}

/**
 * A change is told at once by a call that is held. A call that a cut has swallowed has to be over
 * before the daemon counts as in touch again, so it is held for a part of that time.
 */
const HOLD_SHARE_OF_CONTACT = 0.75;
/** Others rely on a relay's look at the store for so long; it looks more often. */
const RELAY_HOLD_SHARE_OF_CONTACT = 0.25;
const DIGEST_AGE_SHARE_OF_CONTACT = 0.45;
/** A store that has lost its history may answer stale reads; the last whole read is well before this daemon
 * counts as in touch again, which it does so long after they are over. */
const RECHECK_SHARE_OF_CONTACT = 1.5;
/** Few daemons, and the relays of many, find the store again soon after it is back. */
const LONGEST_RETRY_MS = 500;
/** The others hear of it from their relay; without one they have found it well before they count as in touch. */
const RETRY_SHARE_OF_CONTACT = 0.5;

/** The times of a role's watches. */
export function watchTiming(role: WatchRole, contactMs: number): WatchTiming {
  switch (role) {
    case 'alone':
      return { holdMs: contactMs * HOLD_SHARE_OF_CONTACT, longestRetryMs: LONGEST_RETRY_MS };
    case 'relay':
      return { holdMs: contactMs * RELAY_HOLD_SHARE_OF_CONTACT, longestRetryMs: LONGEST_RETRY_MS };
    case 'follower':
      return {
        holdMs: contactMs * HOLD_SHARE_OF_CONTACT,
        longestRetryMs: contactMs * RETRY_SHARE_OF_CONTACT,
      };
  }
}

/** How old a relay's look at the store may be that others rely on. */
export function digestAgeMs(contactMs: number): number {
  return contactMs * DIGEST_AGE_SHARE_OF_CONTACT;
}

/** For how long a table is read whole again after a disturbance. */
export function recheckSpanMs(contactMs: number): number {
  return contactMs * RECHECK_SHARE_OF_CONTACT;
}
