/**
 * The time from the store's acknowledgement of a departure until the last daemon sends its last request to the server,
 * as one sum. Half of `drainMs` is left to daemons that wait for a processor.
 */

/**
 * Many servers change together when a fleet starts or is replaced; each daemon fetches the changes of this time in one
 * call. It does not grow while changes keep coming, as in a release, since any of them may be a departure.
 */
export const SERVERS_BATCH_MS = 400;
