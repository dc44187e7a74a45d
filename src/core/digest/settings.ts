/** The constants of engine digests. docs/decisions/engine-digests.md has the figures. */
import type { Milliseconds } from '../common/time.js';

/** Interval at which a watcher polls its engines. */
export const POLL_INTERVAL_MS: Milliseconds = 250;
/** Time after which an unanswered poll is repeated. */
export const POLL_TIMEOUT_MS: Milliseconds = 1_000;
/** Interval at which digests are sent in a small fleet. */
export const DIGEST_INTERVAL_MS: Milliseconds = 500;
/** The same in a fleet that is split by zone. */
export const LARGE_FLEET_DIGEST_INTERVAL_MS: Milliseconds = 1_000;
/** Interval at which a daemon renews its interests; digests echo these messages back. */
export const INTEREST_INTERVAL_MS: Milliseconds = 1_000;
/** The same in a fleet that is split by zone. */
export const LARGE_FLEET_INTEREST_INTERVAL_MS: Milliseconds = 3_000;
/** An interest that is not renewed for this long expires. */
export const INTEREST_LIFETIME_MS: Milliseconds = 8_000;
/**
 * An engine watched by another daemon is polled directly when its last report is older than this.
 */
export const STALE_MS: Milliseconds = 1_000;
/** The same in a fleet that is split by zone. */
export const LARGE_FLEET_STALE_MS: Milliseconds = 1_600;
/** Limit for concurrent direct polls of engines that other daemons watch. */
export const MAX_DIRECT_POLLS = 4;
/** Minimum interval between direct polls of one engine. */
export const DIRECT_POLL_INTERVAL_MS: Milliseconds = 500;
/** Engines of each pool in its zone that a daemon uses in a fleet that is split by zone. */
export const SUBSET_SIZE = 8;
/** Limit for engines in one message, so that it fits into a datagram. */
export const MAX_ENGINES_PER_MESSAGE = 3;
/** A report is sent in digests until the poll that returned it is older than this. */
export const MAX_DIGEST_REPORT_AGE_MS: Milliseconds = 2_000;
