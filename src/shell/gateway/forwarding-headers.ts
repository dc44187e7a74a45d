/**
 * The headers of a request that one daemon forwards to another. They apply to that connection only: `Connection` lists
 * them, so they are dropped before the request goes on to a server, and before the answer goes on to the caller.
 */
import { createHmac, timingSafeEqual } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import { decodeHeaderText, encodeHeaderText } from '../http/header-text.js';
import type { RawHeaders } from './ports.js';

const TOKEN = 'Threadfork-Forward-Token';
const FROM = 'Threadfork-Forward-From';
const SERVICE = 'Threadfork-Forward-Service';
const VERSION = 'Threadfork-Forward-Version';
const NOT_TAKEN = 'Threadfork-Forward-Not-Taken';
const FRAMING = 'Threadfork-Forward-Framing';
const REQUEST_HEADERS = [TOKEN, FROM, SERVICE, VERSION];
const CLOSE_DELIMITED = 'close';
const TOKEN_PURPOSE = 'threadfork request forwarding';

/** What a daemon says of a request that it forwards. */
export interface ForwardedRequest {
  /** The daemon that the caller sent it to. */
  readonly from: string;
  /** The service that was chosen for it. */
  readonly service: string;
  /** The configuration version in force there; an older one must not decide on the request. */
  readonly configurationVersion: number;
}

/** Proves that a request comes from a daemon of this fleet. @param fleetKey a secret of the fleet */
export function forwardingToken(fleetKey: Buffer): string {
  return createHmac('sha256', fleetKey).update(TOKEN_PURPOSE).digest('hex');
}

export function encodeForwarding(forwarded: ForwardedRequest, token: string): RawHeaders {
  const { from, service, configurationVersion } = forwarded;
  return [
    ...['Connection', ['close', ...REQUEST_HEADERS].join(', ')],
    ...[TOKEN, token, FROM, encodeHeaderText(from), SERVICE, encodeHeaderText(service)],
    ...[VERSION, String(configurationVersion)],
  ];
}

/** @returns undefined for a request that does not come from a daemon of this fleet */
export function decodeForwarding(
  headers: IncomingHttpHeaders,
  token: string,
): ForwardedRequest | undefined {
  const given = Buffer.from(headerValue(headers, TOKEN));
  const expected = Buffer.from(token);
  if (given.length !== expected.length || !timingSafeEqual(given, expected)) return undefined;
  const configurationVersion = Number(headerValue(headers, VERSION));
  if (!Number.isInteger(configurationVersion)) return undefined;
  return {
    from: decodeHeaderText(headerValue(headers, FROM)),
    service: decodeHeaderText(headerValue(headers, SERVICE)),
    configurationVersion,
  };
}

/** Headers of an answer by which a daemon says that it did not take the request, and why. */
export function notTakenHeaders(reason: string): RawHeaders {
  return [NOT_TAKEN, reason];
}

/** Why a daemon did not take a forwarded request; undefined if it took it. */
export function notTakenReason(headers: IncomingHttpHeaders): string | undefined {
  return headers[NOT_TAKEN.toLowerCase()] === undefined
    ? undefined
    : headerValue(headers, NOT_TAKEN);
}

/**
 * Headers of an answer whose end at the server only the close of its connection marked. Between daemons such an answer is
 * framed as any other, so that one that breaks off there does not look complete.
 */
export function closeDelimitedHeaders(): RawHeaders {
  return ['Connection', `close, ${FRAMING}`, FRAMING, CLOSE_DELIMITED];
}

export function wasCloseDelimited(headers: IncomingHttpHeaders): boolean {
  return headerValue(headers, FRAMING) === CLOSE_DELIMITED;
}

function headerValue(headers: IncomingHttpHeaders, name: string): string {
  return String(headers[name.toLowerCase()] ?? '');
}
