/**
 * How long the watches of the store's tables hold a call and wait after one that failed, by what the daemon
 * does for the others. All of it is a part of `contactMs`: so long after a disturbance a daemon has to know
 * what the store holds, so what it may be blind for at the longest is added up here.
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
  /** A call that is not held is over after this. */
  readonly callTimeoutMs: number;
  /** The first call of a daemon, which has nothing to serve by yet, is given longer: the store may be slow. */
  readonly firstReadTimeoutMs: number;
  /** The longest wait before a call that failed is made again. */
  readonly maxRetryDelayMs: number;
}

/** An answer to a held call that takes this much longer than the hold is not coming. */
export const ANSWER_SLACK_MS = 500;
/** The first wait before a call is made again, as a part of the longest. */
export const FIRST_RETRY_SHARE = 1 / 8;

/**
 * Each of a few daemons holds a call all the time, so it is held for long. One that was swallowed still has to be over
 * before the daemon counts as in touch again.
 */
const HOLD_SHARE_OF_CONTACT = 0.75;
/** Others rely on a relay's look at the store, so it looks more often. */
const RELAY_HOLD_SHARE_OF_CONTACT = 0.25;
/** One that hears no relay; with the slack and a wait it is over in half of the time. */
const FOLLOWER_HOLD_SHARE_OF_CONTACT = 0.3;
/** With a wait as long at most, the next call begins within half of the time. */
const LOOK_SHARE_OF_CONTACT = 0.25;
/** Few daemons, and the relays of many, find the store again soon after it is back. */
const LONGEST_RETRY_MS = 500;
const FOLLOWER_RETRY_SHARE_OF_CONTACT = 0.225;
const DIGEST_AGE_SHARE_OF_CONTACT = 0.45;
/** After a cut that lost no history. */
const CUT_RECHECK_SHARE_OF_CONTACT = 1.5;
/** A store that has lost its history may answer stale reads for several times as long as daemons need to be in touch. */
const HISTORY_RECHECK_SHARE_OF_CONTACT = 4.5;

/** The times of a role's watches. */
export function watchTiming(role: WatchRole, contactMs: number): WatchTiming {
  const looks = {
    callTimeoutMs: contactMs * LOOK_SHARE_OF_CONTACT,
    firstReadTimeoutMs: contactMs * HOLD_SHARE_OF_CONTACT,
  };
  switch (role) {
    case 'alone':
      return {
        ...looks,
        holdMs: contactMs * HOLD_SHARE_OF_CONTACT,
        maxRetryDelayMs: LONGEST_RETRY_MS,
      };
    case 'relay':
      return {
        ...looks,
        holdMs: contactMs * RELAY_HOLD_SHARE_OF_CONTACT,
        maxRetryDelayMs: LONGEST_RETRY_MS,
      };
    case 'follower':
      return {
        ...looks,
        holdMs: contactMs * FOLLOWER_HOLD_SHARE_OF_CONTACT,
        maxRetryDelayMs: contactMs * FOLLOWER_RETRY_SHARE_OF_CONTACT,
      };
  }
}

/**
 * The longest time from the end of a disturbance until a call begins that the store answers, by the daemon's own calls
 * alone. The last call that was swallowed began just before the end: it is a held one, after which the first wait is
 * short, or one of a row that failed, after which the wait is the longest.
 */
export function longestBlindMs({ holdMs, callTimeoutMs, maxRetryDelayMs }: WatchTiming): number {
  const afterHeld = holdMs + ANSWER_SLACK_MS + maxRetryDelayMs * FIRST_RETRY_SHARE;
  const afterLook = callTimeoutMs + maxRetryDelayMs;
  return Math.max(afterHeld, afterLook);
}

/** How old a relay's look at the store may be that others rely on. */
export function maxDigestAgeMs(contactMs: number): number {
  return contactMs * DIGEST_AGE_SHARE_OF_CONTACT;
}

/** For how long a table is read whole again, by what has happened to it. */
export interface RecheckSpans {
  readonly cutMs: number;
  readonly historyLostMs: number;
}

/** The spans by `contactMs`. */
export function recheckSpans(contactMs: number): RecheckSpans {
  return {
    cutMs: contactMs * CUT_RECHECK_SHARE_OF_CONTACT,
    historyLostMs: contactMs * HISTORY_RECHECK_SHARE_OF_CONTACT,
  };
}
