/**
 * A lease holder's authority: the facts about a lease that other modules need to act under it.
 */
import type { MonotonicMs } from '../common/time.js';

/** The authority given by a held lease, until a time on the holder's own monotonic clock. */
export interface Authority {
  /** The epoch, which is the fencing token of every order. */
  readonly epoch: number;
  /** The version of the row `epoch/<resource>`, which each write that depends on the lease must check. */
  readonly epochRowVersion: number;
  /** No action under the lease is allowed at or after this time. */
  readonly until: MonotonicMs;
}

/** Whether an authority is valid at a given time. */
export function isInForce(authority: Authority | null, now: MonotonicMs): authority is Authority {
  return authority !== null && now < authority.until;
}

/**
 * The check that the shell makes right before it writes an order to a socket: the authority must still be valid and
 * have the order's epoch.
 */
export function maySendUnder(
  authority: Authority | null,
  orderEpoch: number,
  now: MonotonicMs,
): boolean {
  return isInForce(authority, now) && authority.epoch === orderEpoch;
}
