/**
 * Response bodies of the simulated servers. Each contains the id of the request, so that the oracle detects mixed-up
 * responses.
 */

/** Interval between two events of a stream. */
export const EVENT_GAP_MS = 8;

/** A request whose body starts with this text crashes each server that starts to run it. */
export const CRASHING_MARK = 'ends whoever runs it';

/** The complete response body of a web server: request id, stamp of the run, padding. */
export function completeBody(id: string, stamp: string): string {
  return `${id} ${stamp} ${'.'.repeat(200)}`;
}

/** The software version of servers in plans without releases. */
export const FIRST_SOFTWARE_VERSION = 'v1';

/** One event of a stream, which names the software version of the server that wrote it. */
export function eventText(
  id: string,
  event: number,
  events: number,
  softwareVersion = FIRST_SOFTWARE_VERSION,
): string {
  return `id: ${event}\ndata: ${id} ${event}/${events} ${softwareVersion}\n\n`;
}
