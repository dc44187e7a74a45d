/** How servers' answers ended, and what their statuses say. */

const MIN_SERVER_ERROR_STATUS = 500;

/** Why an answer was not held, as its caller and the log read it. */
export const NO_MEMORY_REASON = 'no memory for the answer';

/** How the body of a server's answer ended. */
export type AnswerOutcome =
  | { readonly kind: 'good' }
  /** A complete answer with a 5xx status. */
  | { readonly kind: 'server-error' }
  /** The body broke off, or it is not a valid answer to this request. */
  | { readonly kind: 'bad'; readonly reason: string }
  /** This daemon could not hold the body, which tells nothing of the server. */
  | { readonly kind: 'not-held'; readonly reason: string };

/**
 * Whether a status tells callers that the request has not run. A server that did run it may send one of these all the
 * same, so they are not forwarded as they are.
 */
export function statusImpliesNotExecuted(status: number): boolean {
  return status === 408 || status === 421 || status === 429 || status === 503;
}

/** The outcome of a complete answer with this status. */
export function completeAnswerOutcome(status: number): AnswerOutcome {
  return status >= MIN_SERVER_ERROR_STATUS ? { kind: 'server-error' } : { kind: 'good' };
}
