/** The constants of membership. docs/decisions/membership.md gives the figures behind them. */
import type { Milliseconds } from '../common/time.js';

/** Each daemon probes one other daemon per interval. */
export const PROBE_INTERVAL_MS: Milliseconds = 1_000;
/** Time after which a probe without ack is followed by indirect probes. */
export const PROBE_TIMEOUT_MS: Milliseconds = 300;
/** Number of daemons that are asked for an indirect probe. */
export const INDIRECT_PROBES = 3;
/** The shortest suspicion timeout, in probe intervals times log10 of the group's size. */
export const SUSPICION_MULTIPLIER = 3;
/** The suspicion timeout without confirmations by other daemons, as a multiple of the shortest. */
export const UNCONFIRMED_SUSPICION_FACTOR = 3;
/** Number of confirmations by other daemons at which the suspicion timeout is shortest. */
export const SUSPICION_CONFIRMATIONS = 3;
/**
 * The highest local health score (0 is healthy). The score lengthens the intervals of this daemon's
 * probes.
 */
export const MAX_LOCAL_HEALTH = 8;
/** Transmissions of an update, as a multiple of the binary logarithm of the group's size. */
export const RETRANSMIT_MULTIPLIER = 3;
/** Approximate limit for the size of the updates in one message. */
export const MAX_UPDATE_BYTES = 800;
/** A fleet of at most this many daemons is one probe group across zones. */
export const SINGLE_PROBE_GROUP_MAX_DAEMONS = 16;
/** Number of daemons in a zone that exchange summaries with other zones. */
export const RELAYS_PER_ZONE = 2;
/** Interval at which a relay sends its summary to each other zone. */
export const RELAY_INTERVAL_MS: Milliseconds = 1_000;
/** Interval at which a daemon compares its table with that of a random member of its group. */
export const SUMMARY_INTERVAL_MS: Milliseconds = 5_000;
/** Minimum interval between complete tables sent in answer to summaries. */
export const TABLE_INTERVAL_MS: Milliseconds = 500;
/** A zone whose heartbeat has not advanced for this long is considered cut off or down. */
export const ZONE_TIMEOUT_MS: Milliseconds = 12_000;
/** Interval between contacts of unknown or dead daemons while no other daemon is known. */
export const JOIN_CONTACT_INTERVAL_MS: Milliseconds = 500;
/** The same once another daemon is known. */
export const CONTACT_INTERVAL_MS: Milliseconds = 2_000;
/** Number of daemons contacted at a time while no other daemon is known. */
export const JOIN_CONTACTS = 3;
/** How long the entry of a dead or departed daemon is kept. */
export const DEPARTED_RETENTION_MS: Milliseconds = 600_000;
/** A longer gap between ticks counts as a pause of this process, by which timeouts are extended. */
export const PAUSE_THRESHOLD_MS: Milliseconds = 1_500;
/** The updates of a larger table are not gossiped one by one: summaries spread them. */
export const MAX_GOSSIPED_TABLE_UPDATES = 32;
/** Number of daemons that are notified of a planned leave directly. */
export const LEAVE_FANOUT = 16;
/**
 * How long after the machine list first names this daemon others that started with it may still be
 * missing there. Covers the second read of the list and the first contact after it, by which time
 * the others are listed and have contacted this daemon.
 */
export const LIST_SETTLE_MS: Milliseconds = 2_500;
/**
 * How long after its start a daemon assigns duties also to listed daemons that it does not know
 * yet.
 */
export const JOIN_SETTLE_MS: Milliseconds = 10_000;
