/** Selects the headers that are forwarded between callers and backends (RFC 9110 section 7.6.1). */
import type { IncomingHttpHeaders } from 'node:http';

const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Read by threadfork itself and not forwarded. */
const IDEMPOTENCY_KEY = 'idempotency-key';
const OWN_HEADER_PREFIX = 'x-threadfork-';
const VIA = '1.1 threadfork';
const NO_HEADER_NAMES: ReadonlySet<string> = new Set();

/** The caller data needed to build the headers for a web backend. */
export interface ForwardingInfo {
  readonly callerAddress: string;
  /** True when the Authorization header was threadfork's own API key. */
  readonly stripAuthorization: boolean;
}

/** Set anew for each forwarded message. */
const FRAMING_HEADERS: ReadonlySet<string> = new Set(['content-length', 'expect']);

/** Removes hop-by-hop and framing headers from a list of alternating names and values. */
export function withoutConnectionHeaders(rawHeaders: readonly string[]): string[] {
  const listedInConnection = connectionNames(valuesOf(rawHeaders, 'connection'));
  const forwarded: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const lower = name.toLowerCase();
    if (HOP_BY_HOP.has(lower) || FRAMING_HEADERS.has(lower) || listedInConnection.has(lower))
      continue;
    forwarded.push(name, rawHeaders[index + 1] ?? '');
  }
  return forwarded;
}

/** The headers of a request to a web backend, as a list of alternating names and values. */
export function requestHeadersToBackend(
  rawHeaders: readonly string[],
  headers: IncomingHttpHeaders,
  info: ForwardingInfo,
): string[] {
  const candidates = withoutConnectionHeaders(rawHeaders);
  const forwarded: string[] = [];
  for (let index = 0; index + 1 < candidates.length; index += 2) {
    const name = candidates[index] ?? '';
    const lower = name.toLowerCase();
    if (lower === IDEMPOTENCY_KEY) continue;
    if (lower.startsWith(OWN_HEADER_PREFIX) || lower === 'via' || lower === 'x-forwarded-for')
      continue;
    if (lower === 'authorization' && info.stripAuthorization) continue;
    forwarded.push(name, candidates[index + 1] ?? '');
  }
  forwarded.push('via', appendToList(headers.via, VIA));
  forwarded.push('x-forwarded-for', appendToList(headers['x-forwarded-for'], info.callerAddress));
  return forwarded;
}

/** The headers of a web backend's answer that are forwarded to the caller. */
export function responseHeadersToCaller(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  const listedInConnection = connectionNames(headers.connection);
  const forwarded: Record<string, string | string[]> = {};
  for (const name in headers) {
    if (HOP_BY_HOP.has(name) || listedInConnection.has(name)) continue;
    const value = headers[name];
    if (value !== undefined) forwarded[name] = value;
  }
  return forwarded;
}

/** The value of a header, or undefined when it is absent or occurs more than once. */
export function singleValue(value: string | string[] | undefined): string | undefined {
  return typeof value === 'string' ? value : undefined;
}

function valuesOf(rawHeaders: readonly string[], lowerCaseName: string): string[] {
  return rawHeaders.filter(
    (_, index) => index % 2 === 1 && rawHeaders[index - 1]?.toLowerCase() === lowerCaseName,
  );
}

function connectionNames(connection: string | string[] | undefined): ReadonlySet<string> {
  if (connection === undefined) return NO_HEADER_NAMES;
  const text = Array.isArray(connection) ? connection.join(',') : connection;
  return new Set(text.split(',').map((name) => name.trim().toLowerCase()));
}

function appendToList(existing: string | string[] | undefined, own: string): string {
  if (existing === undefined) return own;
  return `${Array.isArray(existing) ? existing.join(', ') : existing}, ${own}`;
}
