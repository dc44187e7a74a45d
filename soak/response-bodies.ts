/**
 * Bodies of requests and of the simulated servers' responses. Each contains the id of the request, so that the oracle detects mixed-up
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

/** What the end of a request's body asks of the engine that runs it. */
export interface AskedStream {
  /** The number of tokens, where it differs from the announced one. */
  readonly tokens: number | undefined;
  /** Bytes of padding before each event. */
  readonly paddingBytes: number;
}

const ASKED_TOKENS = /\btokens=(\d+)/;
const ASKED_PADDING = /\bpadding=(\d+)/;
const PADDING = /^:.*\n/gm;

/** The text that asks for a stream. */
export function askForStream({ tokens, paddingBytes }: AskedStream): string {
  const asked = tokens === undefined ? '' : ` tokens=${tokens}`;
  return paddingBytes === 0 ? asked : `${asked} padding=${paddingBytes}`;
}

export function askedStream(body: string): AskedStream {
  const tokens = ASKED_TOKENS.exec(body)?.[1];
  return {
    tokens: tokens === undefined ? undefined : Number(tokens),
    paddingBytes: Number(ASKED_PADDING.exec(body)?.[1] ?? 0),
  };
}

/** A comment line of a stream, which readers of events skip. */
export function paddingText(bytes: number): string {
  return bytes === 0 ? '' : `:${'.'.repeat(bytes)}\n`;
}

/** A stream without its comment lines. */
export function withoutPadding(body: string): string {
  return body.replaceAll(PADDING, '');
}
