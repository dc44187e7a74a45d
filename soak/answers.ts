/** What the stand-ins of servers answer: a request's id and its run's stamp stand in every answer. */

/** From one event of a stream to the next. */
export const EVENT_GAP_MS = 8;

/** A request whose body begins so ends each server that begins to run it. */
export const CRASHING_MARK = 'ends whoever runs it';

/** The body of a web server's whole answer. */
export function wholeBody(id: string, stamp: string): string {
  return `${id} ${stamp} ${'.'.repeat(200)}`;
}

/** One event of a stream. */
export function eventText(id: string, event: number, events: number): string {
  return `id: ${event}\ndata: ${id} ${event}/${events}\n\n`;
}
