/**
 * The time from the store's acknowledgement of a departure until the last daemon sends its last request to the server,
 * as one sum. It has to stay within half of `drainMs`: the other half is left to daemons that wait for a processor.
 */

/**
 * Many servers change together when a fleet starts or is replaced; each daemon fetches the changes of this time in one
 * call. It does not grow while changes keep coming, as in a release, since any of them may be a departure.
 */
export const SERVERS_BATCH_MS = 200;
/** The interval at which a relay sends what has changed to its zone. */
export const RELAY_INTERVAL_MS = 60;
/** A backend that does not accept a connection within this time is not waited for. */
export const CONNECT_TIMEOUT_MS = 220;
/** A call that the store answers at once, and a datagram, take at most this long in an undisturbed fleet. */
const STORE_ANSWER_MS = 100;
const DATAGRAM_MS = 50;
/** What a disturbed fleet may take for either; ages that are told or derived are lengthened by it. */
export const TRANSIT_MS = 200;
/** How long a relay's digest is relied on if no other follows, as a share of `drainMs`. */
const DIGEST_SILENCE_SHARE_OF_DRAIN = 1 / 3;

/** A datagram that was longer on its way than this share of `drainMs` is late: digests are relied on for twice as long. */
const LATE_DATAGRAM_SHARE_OF_DRAIN = 1 / 6;

/** A daemon that stood still for this share of `drainMs` must not go on with what it knew before. */
const STALL_SHARE_OF_DRAIN = 1 / 4;

/** How a departure reaches a daemon. */
export type DepartureWay =
  /** It reads the list from the store, as a relay and each daemon of a small fleet do. */
  | 'own read'
  /** Another daemon reads it and sends a notice. */
  | 'notice'
  /** No notice or forwarded change arrives; a digest shows that the list has changed. */
  | 'digest'
  /** All relays stall as the row changes; the daemon misses their digests. */
  | 'silent relays';

/** How long a relay's digest is relied on if no other follows. */
export function maxDigestSilenceMs(drainMs: number): number {
  return drainMs * DIGEST_SILENCE_SHARE_OF_DRAIN;
}

/** A datagram that was longer on its way is late. */
export function lateDatagramMs(drainMs: number): number {
  return drainMs * LATE_DATAGRAM_SHARE_OF_DRAIN;
}

/** How long a daemon may stand still and go on with the list of servers that it knew before. */
export function maxStallMs(drainMs: number): number {
  return drainMs * STALL_SHARE_OF_DRAIN;
}

/** The longest time from the store's acknowledgement of a departure until a daemon knows. */
export function longestUnawareMs(way: DepartureWay, drainMs: number): number {
  const ownReadMs = SERVERS_BATCH_MS + STORE_ANSWER_MS;
  switch (way) {
    case 'own read':
      return ownReadMs;
    case 'notice':
      return ownReadMs + DATAGRAM_MS;
    case 'digest':
      return ownReadMs + RELAY_INTERVAL_MS + DATAGRAM_MS + ownReadMs;
    case 'silent relays':
      return maxDigestSilenceMs(drainMs) + STORE_ANSWER_MS;
  }
}

/** The longest time until the last request is sent: one that was sent just before may wait for its connection. */
export function lastSendMs(way: DepartureWay, drainMs: number): number {
  return longestUnawareMs(way, drainMs) + CONNECT_TIMEOUT_MS;
}
