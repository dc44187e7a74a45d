/** Which headers cross from caller to backend and back (RFC 9110 section 7.6.1). */
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

/** Meant for threadfork alone. */
const IDEMPOTENCY_KEY = 'idempotency-key';
const OWN_PREFIX = 'x-threadfork-';
const VIA = '1.1 threadfork';
const NO_NAMES: ReadonlySet<string> = new Set();

/** What a web backend is told beside the caller's own headers. */
export interface ForwardingInfo {
  readonly callerAddress: string;
  /** True when the Authorization header was threadfork's own API key. */
  readonly stripAuthorization: boolean;
}

/** Set anew for each message, whoever wrote them. */
const FRAMING: ReadonlySet<string> = new Set(['content-length', 'expect']);

/** A flat name and value list without what applies to one connection or frames one message. */
export function withoutConnectionHeaders(rawHeaders: readonly string[]): string[] {
  const named = connectionNames(valuesOf(rawHeaders, 'connection'));
  const passed: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const lower = name.toLowerCase();
    if (HOP_BY_HOP.has(lower) || FRAMING.has(lower) || named.has(lower)) continue;
    passed.push(name, rawHeaders[index + 1] ?? '');
  }
  return passed;
}

/** The headers of a caller's request that a web backend gets, as a flat name and value list. */
export function requestHeadersToBackend(
  rawHeaders: readonly string[],
  headers: IncomingHttpHeaders,
  info: ForwardingInfo,
): string[] {
  const candidates = withoutConnectionHeaders(rawHeaders);
  const passed: string[] = [];
  for (let index = 0; index + 1 < candidates.length; index += 2) {
    const name = candidates[index] ?? '';
    const lower = name.toLowerCase();
    if (lower === IDEMPOTENCY_KEY) continue;
    if (lower.startsWith(OWN_PREFIX) || lower === 'via' || lower === 'x-forwarded-for') continue;
    if (lower === 'authorization' && info.stripAuthorization) continue;
    passed.push(name, candidates[index + 1] ?? '');
  }
  passed.push('via', appended(headers.via, VIA));
  passed.push('x-forwarded-for', appended(headers['x-forwarded-for'], info.callerAddress));
  return passed;
}

/** The headers of a web backend's answer that the caller gets. */
export function responseHeadersToCaller(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  const named = connectionNames(headers.connection);
  const passed: Record<string, string | string[]> = {};
  for (const name in headers) {
    if (HOP_BY_HOP.has(name) || named.has(name)) continue;
    const value = headers[name];
    if (value !== undefined) passed[name] = value;
  }
  return passed;
}

/** The one value of a header, or undefined when it is absent or given more than once. */
export function singleValue(value: string | string[] | undefined): string | undefined {
  return typeof value === 'string' ? value : undefined;
}

function valuesOf(rawHeaders: readonly string[], wanted: string): string[] {
  return rawHeaders.filter(
    (_, index) => index % 2 === 1 && rawHeaders[index - 1]?.toLowerCase() === wanted,
  );
}

function connectionNames(connection: string | string[] | undefined): ReadonlySet<string> {
  if (connection === undefined) return NO_NAMES;
  const text = Array.isArray(connection) ? connection.join(',') : connection;
  return new Set(text.split(',').map((name) => name.trim().toLowerCase()));
}

function appended(earlier: string | string[] | undefined, own: string): string {
  if (earlier === undefined) return own;
  return `${Array.isArray(earlier) ? earlier.join(', ') : earlier}, ${own}`;
}
