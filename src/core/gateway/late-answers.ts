/**
 * How long the connection of a call that was given up stays open for its answer. A server that rejects the request may
 * report in that answer that it leaves or that it wants no requests for a time, which holds whether or not the caller is
 * still there. Closing the connection before it is clear that the server accepted the request would lose that.
 */

/** Servers must not be at work half a second after a caller has left; the rest of that time is for the close to arrive. */
const MAX_WAIT_MS = 300;
/** Servers reject a request before this; one that has held it for longer is at work, which the close has to stop. */
const REJECTED_WITHIN_MS = 500;

/**
 * The time for which the connection stays open; 0 where it is to be closed at once.
 * @param sentAgoMs time since the call began
 */
export function lateAnswerWaitMs(sentAgoMs: number): number {
  return Math.max(0, Math.min(MAX_WAIT_MS, REJECTED_WITHIN_MS - sentAgoMs));
}
