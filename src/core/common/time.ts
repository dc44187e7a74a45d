/**
 * Units of time used throughout the core. The core reads no clock: every event carries the
 * monotonic time at which the shell observed it.
 */

/** A span of time in milliseconds. */
export type Milliseconds = number;

/** A reading of one process's monotonic clock in milliseconds. Readings of different processes must not be compared. */
export type MonotonicMs = number;
