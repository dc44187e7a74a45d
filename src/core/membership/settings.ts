/** The constants of membership. docs/decisions/membership.md gives the figures behind them. */
import type { Milliseconds } from '../common/time.js';

/** Each daemon probes one other in each interval. */
export const PROBE_INTERVAL_MS: Milliseconds = 1_000;
/** How long a direct probe waits for its ack before others are asked to probe. */
export const PROBE_TIMEOUT_MS: Milliseconds = 300;
/** How many others are asked to probe in one's stead. */
export const INDIRECT_PROBES = 3;
/** The shortest suspicion, in probe intervals times log10 of the group's size. */
export const SUSPICION_MULTIPLIER = 3;
/** The longest suspicion (nobody else suspects the daemon) as a multiple of the shortest. */
export const UNCONFIRMED_SUSPICION_FACTOR = 3;
/** How many others' suspicions shorten a suspicion to its shortest. */
export const SUSPICION_CONFIRMATIONS = 3;
/** The highest local health score (0 is healthy); it stretches the own probe's timings. */
export const MAX_LOCAL_HEALTH = 8;
/** An update is passed on this many times the binary logarithm of the group's size. */
export const RETRANSMIT_MULTIPLIER = 3;
/** The updates of one message take at most about this many bytes. */
export const MAX_UPDATE_BYTES = 800;
/** With at most this many daemons in all, they probe one another across zones. */
export const SINGLE_PROBE_GROUP_MAX_DAEMONS = 16;
/** How many daemons of a zone exchange summaries with other zones. */
export const RELAYS_PER_ZONE = 2;
/** How often a relay sends its summary to each other zone. */
export const RELAY_INTERVAL_MS: Milliseconds = 1_000;
/** How often each daemon compares its table with that of a random other in its group. */
export const SUMMARY_INTERVAL_MS: Milliseconds = 5_000;
/** Whole tables are sent at most this often. */
export const TABLE_INTERVAL_MS: Milliseconds = 500;
/** A zone whose heartbeat stands still for this long is taken to be cut off or down. */
export const ZONE_TIMEOUT_MS: Milliseconds = 12_000;
/** How often daemons that are listed but not known alive are contacted: before the first answer. */
export const JOIN_CONTACT_INTERVAL_MS: Milliseconds = 500;
/** The same once the daemon knows another one. */
export const CONTACT_INTERVAL_MS: Milliseconds = 2_000;
/** How many are contacted at once before the first answer. */
export const JOIN_CONTACTS = 3;
/** How long a dead or departed daemon's last life is remembered. */
export const DEPARTED_RETENTION_MS: Milliseconds = 600_000;
/** A gap between ticks longer than this is a pause of this process: timers start afresh. */
export const PAUSE_THRESHOLD_MS: Milliseconds = 1_500;
/** More updates than this in one table are not passed on one by one: summaries carry them. */
export const MAX_GOSSIPED_TABLE_UPDATES = 32;
/** A planned leave is told to this many others at once. */
export const LEAVE_FANOUT = 16;
/**
 * After the machine list has first named a daemon, others that started with it may still be missing there: they are
 * listed, and have found it, by the second reading and the first contact after that.
 */
export const LIST_SETTLE_MS: Milliseconds = 2_500;
/** How long after its start a daemon leaves duties to listed daemons that it does not know yet. */
export const JOIN_SETTLE_MS: Milliseconds = 10_000;
