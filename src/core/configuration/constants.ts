/** The constants of configuration spread. docs/decisions/configuration-spread.md has the figures. */
import type { Milliseconds } from '../common/time.js';

/** Documents whose JSON is longer than this go through the object store. */
export const MAX_INLINE_CHARACTERS = 131_072;
/** How long a change may take to be recorded, and then to come into force everywhere. */
export const CHANGE_DEADLINE_MS: Milliseconds = 10_000;
/** How often a change is applied anew to a document that another operator changed meanwhile. */
export const MAX_CHANGE_ATTEMPTS = 5;
/** Pause before a lost or refused store call is made again. */
export const STORE_RETRY_MS: Milliseconds = 250;
/** The longest pause between failed reads of the store. */
export const MAX_READ_BACKOFF_MS: Milliseconds = 30_000;
/** The first read of the store is spread over this long for each daemon listed. */
export const FIRST_READ_SPREAD_MS: Milliseconds = 20;
/** The longest that the first read is put off. */
export const MAX_FIRST_READ_DELAY_MS: Milliseconds = 5_000;
/** All daemons together read the store about once in this time, whatever their number. */
export const FLEET_READ_INTERVAL_MS: Milliseconds = 2_000;
/** One daemon reads the store at most this often once it has a configuration. */
export const MIN_READ_INTERVAL_MS: Milliseconds = 15_000;
/** A daemon that knows of a version which no other holds reads the store at most this often. */
export const MIN_CATCH_UP_INTERVAL_MS: Milliseconds = 2_000;
/** The daemon that recorded a change tells this many others at once. */
export const ORIGIN_FANOUT = 16;
/** A daemon on which a version came into force tells this many others. */
export const ANNOUNCE_FANOUT = 3;
/** How often the daemon that recorded a change asks those that have not confirmed it. */
export const CONFIRM_INTERVAL_MS: Milliseconds = 500;
/** How many of those are asked at once. */
export const CONFIRM_FANOUT = 64;
/** How long a pull waits for its content. */
export const PULL_TIMEOUT_MS: Milliseconds = 1_000;
/** A pull that follows from a mere heartbeat is put off by up to this. */
export const PULL_JITTER_MS: Milliseconds = 200;
/** How many daemons are remembered as holding a higher version. */
export const MAX_HOLDERS = 8;
/** How many daemons are remembered as waiting to hear that a version is in force here. */
export const MAX_ORIGINS = 4;
/** A daemon answers at most this many pulls in each window. */
export const PULLS_PER_WINDOW = 8;
/** The length of that window. */
export const PULL_WINDOW_MS: Milliseconds = 250;
