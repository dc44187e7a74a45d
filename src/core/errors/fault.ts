/**
 * The typed errors that are reported to a caller, an operator or a log. Every fault states whether
 * the work was run and whether a retry may succeed, and its message names the remedy.
 */
import type { Milliseconds } from '../common/time.js';

/**
 * Whether the work behind a failed request was run.
 * `refused-not-run`: no backend received the request, or the backend reported that it did not run it.
 * `unknown`: it may have run.
 */
export type FailureOutcome = 'refused-not-run' | 'unknown';

/** Stable codes, documented in docs/ERRORS.md. */
export type FaultCode =
  | 'invalid-request'
  | 'unauthenticated'
  | 'forbidden'
  | 'unknown-model'
  | 'unknown-route'
  | 'method-not-allowed'
  | 'body-too-large'
  | 'headers-too-large'
  | 'body-timeout'
  | 'overloaded'
  | 'tenant-over-share'
  | 'deadline-passed'
  | 'no-backend'
  | 'backend-refused'
  | 'backend-broken'
  | 'not-configured'
  | 'store-unavailable'
  | 'idempotency-conflict'
  | 'idempotency-in-progress'
  | 'idempotency-outcome-unknown'
  | 'idempotency-answer-not-kept'
  | 'stopping'
  | 'version-conflict'
  | 'invalid-command'
  | 'not-in-force'
  | 'internal';

/** A failure with its remedy. */
export interface Fault {
  readonly code: FaultCode;
  /** One sentence on what happened and one on what to do about it. */
  readonly message: string;
  readonly retryable: boolean;
  readonly outcome: FailureOutcome;
  /** Time until a retry may succeed; sent as `Retry-After`, rounded up to whole seconds. */
  readonly retryAfterMs?: Milliseconds;
}

/** A fault for work that was certainly not run. */
export function refusedNotRun(
  code: FaultCode,
  message: string,
  options: { readonly retryable?: boolean; readonly retryAfterMs?: Milliseconds } = {},
): Fault {
  return {
    code,
    message,
    retryable: options.retryable ?? options.retryAfterMs !== undefined,
    outcome: 'refused-not-run',
    ...(options.retryAfterMs === undefined ? {} : { retryAfterMs: options.retryAfterMs }),
  };
}

/** A fault for work that may have run. */
export function outcomeUnknown(code: FaultCode, message: string): Fault {
  return { code, message, retryable: false, outcome: 'unknown' };
}
