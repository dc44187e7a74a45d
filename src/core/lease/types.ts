/**
 * The rows of a lease in the table service. They contain no wall-clock time: an observer may take a lease over only
 * after it has seen the same row version for the full lease duration on its own monotonic clock (Gray and Cheriton
 * 1989, with fencing by epoch as in Chubby).
 */
import type { DaemonName, Incarnation } from '../common/identifiers.js';
import type { Milliseconds } from '../common/time.js';

/** The value of the row `lease/<resource>`. */
export interface LeaseRow {
  readonly holder: DaemonName | null;
  readonly incarnation: Incarnation;
  /** Rises with each change of the holder; the fencing token of every order. */
  readonly epoch: number;
  readonly durationMs: Milliseconds;
  /** Counts renewals, so that each renewal changes the row's value and version. */
  readonly renewals: number;
}

/**
 * The value of the row `epoch/<resource>`, which is written in the transaction of each take-over and never by a
 * renewal. A write that depends on the lease checks this row's version: the write fails once another holder has taken
 * over, but does not conflict with the holder's own renewals.
 */
export interface EpochRow {
  readonly epoch: number;
}

/** The key of a resource's lease row. */
export function leaseKey(resource: string): string {
  return `lease/${resource}`;
}

/** The key of a resource's epoch row. */
export function epochKey(resource: string): string {
  return `epoch/${resource}`;
}
