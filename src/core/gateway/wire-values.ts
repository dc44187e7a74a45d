/**
 * Checks of texts that others name and that this daemon puts into a connection, a header or a path. Node.js throws on a
 * text that does not fit there, so each one is checked where it is decoded.
 */

/** A DNS name or an IPv4 address. */
const HOST = /^[A-Za-z0-9](?:[A-Za-z0-9._-]{0,251}[A-Za-z0-9])?$/;
const PORT = /^\d{1,5}$/;
const MAX_PORT = 65_535;
/** A name is sent in datagrams between daemons, together with those of other servers. */
export const MAX_NAME_LENGTH = 255;
const SERVER_ID = /^[\x21-\x7e]+$/;
/** Visible characters with blanks between them (RFC 9110 section 5.5); blanks at the ends are lost on the way. */
const FIELD_VALUE = /^[\x21-\x7e\x80-\xff](?:[\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?$/;
/** The characters of a path segment (RFC 3986 section 3.3) without percent-encoding. */
const PATH_SEGMENT = /^[A-Za-z0-9._~!$&'()*+,;=:@-]+$/;
const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;

/** Whether a text can be the id of a server, which is sent in a header. */
export function isServerId(text: string): boolean {
  return SERVER_ID.test(text);
}

/** Whether a text can be the name of a server's service or zone. */
export function isName(text: string): boolean {
  return text.length > 0 && text.length <= MAX_NAME_LENGTH;
}

/** Whether a number is a port that can be connected to. */
export function isPort(port: number): boolean {
  return Number.isInteger(port) && port >= 1 && port <= MAX_PORT;
}

/** Whether a text is a DNS name or an IPv4 address. */
export function isHost(text: string): boolean {
  return HOST.test(text);
}

/** Whether a text is HOST:PORT, with a host and a port that can be connected to. */
export function isAddress(text: string): boolean {
  const separator = text.lastIndexOf(':');
  const port = text.slice(separator + 1);
  return isHost(text.slice(0, Math.max(0, separator))) && PORT.test(port) && isPort(Number(port));
}

/** Whether a header can carry a text of at most `maxLength` characters unchanged. */
export function isFieldValue(text: string, maxLength: number): boolean {
  return text.length <= maxLength && FIELD_VALUE.test(text);
}

/** Whether a text of at most `maxLength` characters is a path segment and a header can carry it. */
export function isPathSegment(text: string, maxLength: number): boolean {
  return text.length <= maxLength && PATH_SEGMENT.test(text);
}

/** Whether a status ends a request (RFC 9110 section 15): 1xx announces another answer, and the others are undefined. */
export function isFinalStatus(status: number): boolean {
  return status >= FIRST_FINAL_STATUS && status <= LAST_STATUS;
}
