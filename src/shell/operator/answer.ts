/** Answers of the operator API: JSON with a status that follows from the outcome. */
import type { ServerResponse } from 'node:http';
import type { ChangeOutcome } from '../../core/configuration/change-outcome.js';
import type { Fault, FaultCode } from '../../core/errors/fault.js';

/** An answer before it is written. */
export interface Answer {
  readonly status: number;
  readonly body: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

const STATUS_OK = 200;
const STATUS_ACCEPTED = 202;
const STATUS_INTERNAL = 500;
const MS_PER_SECOND = 1_000;

const STATUS_BY_CODE: Partial<Record<FaultCode, number>> = {
  'invalid-request': 400,
  'invalid-command': 400,
  unauthenticated: 401,
  forbidden: 403,
  'unknown-route': 404,
  'unknown-model': 404,
  'method-not-allowed': 405,
  'body-timeout': 408,
  'version-conflict': 409,
  'idempotency-conflict': 409,
  'body-too-large': 413,
  'headers-too-large': 431,
  overloaded: 503,
  'not-configured': 503,
  'not-in-force': 503,
  'store-unavailable': 503,
  stopping: 503,
};

/** The status of a fault's answer. */
function faultStatus(fault: Fault): number {
  return STATUS_BY_CODE[fault.code] ?? STATUS_INTERNAL;
}

/** A successful answer. */
export function okAnswer(body: unknown): Answer {
  return { status: STATUS_OK, body };
}

/** The answer to a failed call. */
export function faultAnswer(fault: Fault): Answer {
  return { status: faultStatus(fault), body: { error: fault }, headers: faultHeaders(fault) };
}

/** The answer to a change: its outcome as the body, with a status that depends on its kind. */
export function outcomeAnswer(outcome: ChangeOutcome): Answer {
  switch (outcome.kind) {
    case 'refused':
      return {
        status: faultStatus(outcome.fault),
        body: outcome,
        headers: faultHeaders(outcome.fault),
      };
    case 'unknown':
      return { status: STATUS_ACCEPTED, body: outcome };
    default:
      return okAnswer(outcome);
  }
}

function faultHeaders(fault: Fault): Readonly<Record<string, string>> {
  if (fault.code === 'unauthenticated') {
    return { 'www-authenticate': 'Bearer' };
  }
  if (fault.retryAfterMs === undefined) {
    return {};
  }
  return { 'retry-after': String(Math.ceil(fault.retryAfterMs / MS_PER_SECOND)) };
}

/** Writes an answer, unless the connection is closed or an answer was already started. */
export function writeAnswer(response: ServerResponse, answer: Answer): void {
  if (response.destroyed || response.headersSent) {
    return;
  }
  const body = Buffer.from(`${JSON.stringify(answer.body)}\n`);
  response.writeHead(answer.status, {
    'content-type': 'application/json',
    'content-length': body.length,
    'cache-control': 'no-store',
    ...answer.headers,
  });
  response.end(body);
}
