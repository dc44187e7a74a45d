/** The constants of configuration distribution; see docs/decisions/configuration-spread.md. */
import type { Milliseconds } from '../common/time.js';

/** Documents whose JSON is longer than this are kept in the object store instead of the table. */
export const MAX_INLINE_CHARACTERS = 131_072;
/** The time limit for recording a change, and again for its coming into force on every daemon. */
export const CHANGE_DEADLINE_MS: Milliseconds = 10_000;
/** The maximum attempts to commit a change when other changes are committed in between. */
export const MAX_CHANGE_ATTEMPTS = 5;
/** The pause before a lost or refused store call is retried. */
export const STORE_RETRY_MS: Milliseconds = 250;
/** The maximum back-off after failed reads of the store, before jitter. */
export const MAX_READ_BACKOFF_MS: Milliseconds = 30_000;
/** The first reads of the store are spread over this time multiplied by the fleet's size. */
export const FIRST_READ_SPREAD_MS: Milliseconds = 20;
/** The maximum delay of the first read. */
export const MAX_FIRST_READ_DELAY_MS: Milliseconds = 5_000;
/** All daemons together read the store about once in this interval, independent of fleet size. */
export const FLEET_READ_INTERVAL_MS: Milliseconds = 2_000;
/** The minimum mean interval between one daemon's regular reads of the store. */
export const MIN_READ_INTERVAL_MS: Milliseconds = 15_000;
/** The minimum interval between reads for a known version that no reachable daemon holds. */
export const MIN_CATCH_UP_INTERVAL_MS: Milliseconds = 2_000;
/** The number of daemons to which the daemon that recorded a change announces it at once. */
export const ORIGIN_FANOUT = 16;
/** The number of daemons to which a daemon announces a version that came into force on it. */
export const ANNOUNCE_FANOUT = 3;
/** The interval of repeated announcements to daemons that have not confirmed a change. */
export const CONFIRM_INTERVAL_MS: Milliseconds = 500;
/** The maximum number of daemons in one repeated announcement. */
export const CONFIRM_FANOUT = 64;
/** The time limit for the answer to a pull. */
export const PULL_TIMEOUT_MS: Milliseconds = 1_000;
/** The maximum random delay of a pull triggered by a message header or retried when busy. */
export const PULL_JITTER_MS: Milliseconds = 200;
/** The maximum number of daemons remembered as holding a higher version. */
export const MAX_HOLDERS = 8;
/** The maximum number of daemons remembered as waiting for this daemon's confirmation. */
export const MAX_ORIGINS = 4;
/** A daemon answers at most this many pulls in each window. */
export const PULLS_PER_WINDOW = 8;
/** The length of the window for `PULLS_PER_WINDOW`. */
export const PULL_WINDOW_MS: Milliseconds = 250;
