/** The constants of engine digests. docs/decisions/engine-digests.md has the figures. */
import type { Milliseconds } from '../common/time.js';

/** How often a watcher asks its engines for reports. */
export const POLL_INTERVAL_MS: Milliseconds = 250;
/** How long an answer is waited for before the engine is asked again. */
export const POLL_TIMEOUT_MS: Milliseconds = 1_000;
/** How often digests go out in a small fleet. */
export const DIGEST_INTERVAL_MS: Milliseconds = 500;
/** The same in a fleet that is split by zone. */
export const LARGE_FLEET_DIGEST_INTERVAL_MS: Milliseconds = 1_000;
/** How often a daemon renews its interest, which is also the echo that digests carry back. */
export const INTEREST_INTERVAL_MS: Milliseconds = 1_000;
/** The same in a fleet that is split by zone. */
export const LARGE_FLEET_INTEREST_INTERVAL_MS: Milliseconds = 3_000;
/** An interest that is not renewed lapses. */
export const INTEREST_LIFETIME_MS: Milliseconds = 8_000;
/** An engine of which nothing was heard for this long is asked directly. */
export const STALE_MS: Milliseconds = 1_000;
/** The same in a fleet that is split by zone. */
export const LARGE_FLEET_STALE_MS: Milliseconds = 1_600;
/** At most this many engines of other watchers are asked directly at once. */
export const MAX_DIRECT_POLLS = 4;
/** Pause between direct polls of one engine. */
export const DIRECT_POLL_INTERVAL_MS: Milliseconds = 500;
/** In a fleet that is split by zone, a daemon uses this many engines of each pool in its zone. */
export const SUBSET_SIZE = 8;
/** At most this many engines go into one message, so that it fits into a datagram. */
export const MAX_ENGINES_PER_MESSAGE = 3;
/** An engine's report is told for this long after it was asked for. */
export const MAX_DIGEST_REPORT_AGE_MS: Milliseconds = 2_000;
