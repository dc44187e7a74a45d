/**
 * Time-outs and retry delays of the watches of the store's tables, by the role of the daemon. Most are shares of
 * `contactMs`, the time after a disturbance within which a daemon must know the store's current contents.
 * `longestBlindMs` adds them up to the longest time without contact.
 */

/** The role of a daemon in following the store's tables. */
export type WatchRole =
  /** The fleet is small: each daemon follows the tables itself. */
  | 'alone'
  /** The daemon follows the tables for its zone. */
  | 'relay'
  /** The daemon relies on the relay of its zone. */
  | 'follower';

/** Time-outs and delays of a watch. */
export interface WatchTiming {
  /** How long the store holds a long poll while nothing changes. */
  readonly holdMs: number;
  /** The time-out of a call that the store does not hold. */
  readonly callTimeoutMs: number;
  /** The time-out of full reads before the first success: the store may be slow, and no request is served before. */
  readonly firstReadTimeoutMs: number;
  /** The longest delay before a failed call is retried. */
  readonly maxRetryDelayMs: number;
}

/** A long poll times out this long after its hold. */
export const ANSWER_SLACK_MS = 500;
/** The delay before the first retry, as a share of the longest delay. */
export const FIRST_RETRY_SHARE = 1 / 8;

/**
 * In a small fleet every daemon always has a long poll open, so holds are long to save calls. A long poll whose answer
 * was lost must still time out before the daemon has to be back in contact.
 */
const HOLD_SHARE_OF_CONTACT = 0.75;
/** A whole zone relies on how recently its relay was in contact with the store, so a relay uses shorter holds. */
const RELAY_HOLD_SHARE_OF_CONTACT = 0.25;
/** For a follower without a fresh digest; hold, slack and one retry delay together take half of `contactMs`. */
const FOLLOWER_HOLD_SHARE_OF_CONTACT = 0.3;
/** With a retry delay of at most the same length, the next call starts within half of `contactMs`. */
const CALL_TIMEOUT_SHARE_OF_CONTACT = 0.25;
/** Small fleets and relays are few enough to retry often, so they reach the store soon after it is back. */
const MAX_RETRY_DELAY_MS = 500;
const FOLLOWER_RETRY_DELAY_SHARE_OF_CONTACT = 0.225;
const DIGEST_AGE_SHARE_OF_CONTACT = 0.45;
/** How long full reads are repeated after a connection was cut but the history was kept. */
const CUT_RECHECK_SHARE_OF_CONTACT = 1.5;
/** How long full reads are repeated after the history was lost; answers may be stale for several times `contactMs`. */
const HISTORY_RECHECK_SHARE_OF_CONTACT = 4.5;

/** The time-outs and delays of a role. */
export function watchTiming(role: WatchRole, contactMs: number): WatchTiming {
  const timeouts = {
    callTimeoutMs: contactMs * CALL_TIMEOUT_SHARE_OF_CONTACT,
    firstReadTimeoutMs: contactMs * HOLD_SHARE_OF_CONTACT,
  };
  switch (role) {
    case 'alone':
      return {
        ...timeouts,
        holdMs: contactMs * HOLD_SHARE_OF_CONTACT,
        maxRetryDelayMs: MAX_RETRY_DELAY_MS,
      };
    case 'relay':
      return {
        ...timeouts,
        holdMs: contactMs * RELAY_HOLD_SHARE_OF_CONTACT,
        maxRetryDelayMs: MAX_RETRY_DELAY_MS,
      };
    case 'follower':
      return {
        ...timeouts,
        holdMs: contactMs * FOLLOWER_HOLD_SHARE_OF_CONTACT,
        maxRetryDelayMs: contactMs * FOLLOWER_RETRY_DELAY_SHARE_OF_CONTACT,
      };
  }
}

/**
 * The longest time from the end of a disturbance until the daemon starts a call that the store answers, without help
 * from a relay. The last unanswered call started just before the end: either a long poll, followed by the short first
 * retry delay, or a later retry, followed by the longest delay.
 */
export function longestBlindMs({ holdMs, callTimeoutMs, maxRetryDelayMs }: WatchTiming): number {
  const afterLongPoll = holdMs + ANSWER_SLACK_MS + maxRetryDelayMs * FIRST_RETRY_SHARE;
  const afterRetry = callTimeoutMs + maxRetryDelayMs;
  return Math.max(afterLongPoll, afterRetry);
}

/** The longest time between two answers of the store to a daemon that is not cut off from it; one call may fail. */
export function maxAnswerGapMs(contactMs: number): number {
  const timing = watchTiming('alone', contactMs);
  return longestBlindMs(timing) + timing.callTimeoutMs;
}

/** Whether calls have failed for so long that the store was away; no row expires in a shorter time. */
export function isOutage(awayMs: number, { callTimeoutMs }: WatchTiming): boolean {
  return awayMs >= callTimeoutMs;
}

/** The age up to which a relay's last contact with the store makes its digest fresh. */
export function maxDigestAgeMs(contactMs: number): number {
  return contactMs * DIGEST_AGE_SHARE_OF_CONTACT;
}

/** How long full reads of a table are repeated, by the kind of disturbance. */
export interface RecheckSpans {
  readonly cutMs: number;
  readonly historyLostMs: number;
}

/** The spans for a `contactMs`. */
export function recheckSpans(contactMs: number): RecheckSpans {
  return {
    cutMs: contactMs * CUT_RECHECK_SHARE_OF_CONTACT,
    historyLostMs: contactMs * HISTORY_RECHECK_SHARE_OF_CONTACT,
  };
}
