/** The HTTP form of faults: OpenAI's error shape, a status for each code, and `Retry-After`. */
import type { Fault, FaultCode } from '../../core/errors/fault.js';

/** The `type` field of OpenAI's error object. */
type ErrorType =
  | 'invalid_request_error'
  | 'authentication_error'
  | 'permission_error'
  | 'rate_limit_error'
  | 'server_error';

/** The HTTP status and error type of a fault code. */
export interface FaultStatus {
  readonly status: number;
  readonly type: ErrorType;
}

/** The status and type of each code; docs/ERRORS.md lists them with their remedies. */
export const FAULT_STATUS: Readonly<Record<FaultCode, FaultStatus>> = {
  'invalid-request': { status: 400, type: 'invalid_request_error' },
  unauthenticated: { status: 401, type: 'authentication_error' },
  forbidden: { status: 403, type: 'permission_error' },
  'unknown-model': { status: 404, type: 'invalid_request_error' },
  'unknown-route': { status: 404, type: 'invalid_request_error' },
  'method-not-allowed': { status: 405, type: 'invalid_request_error' },
  'body-too-large': { status: 413, type: 'invalid_request_error' },
  'headers-too-large': { status: 431, type: 'invalid_request_error' },
  'body-timeout': { status: 408, type: 'invalid_request_error' },
  overloaded: { status: 503, type: 'server_error' },
  'tenant-over-share': { status: 429, type: 'rate_limit_error' },
  'deadline-passed': { status: 504, type: 'server_error' },
  'no-backend': { status: 503, type: 'server_error' },
  'backend-refused': { status: 503, type: 'server_error' },
  'backend-broken': { status: 502, type: 'server_error' },
  'not-configured': { status: 503, type: 'server_error' },
  'store-unavailable': { status: 503, type: 'server_error' },
  'idempotency-conflict': { status: 422, type: 'invalid_request_error' },
  'idempotency-in-progress': { status: 409, type: 'invalid_request_error' },
  'idempotency-outcome-unknown': { status: 409, type: 'server_error' },
  'idempotency-answer-not-kept': { status: 409, type: 'server_error' },
  stopping: { status: 503, type: 'server_error' },
  'version-conflict': { status: 409, type: 'invalid_request_error' },
  'invalid-command': { status: 400, type: 'invalid_request_error' },
  'not-in-force': { status: 503, type: 'server_error' },
  internal: { status: 500, type: 'server_error' },
};

/** The outcome text in the body of a fault. */
function outcomeText(fault: Fault): string {
  return fault.outcome === 'refused-not-run' ? 'refused: not run' : 'unknown';
}

/** The JSON body of a fault. */
export function faultBody(fault: Fault): string {
  return JSON.stringify({
    error: {
      message: fault.message,
      type: FAULT_STATUS[fault.code].type,
      code: fault.code,
      param: null,
      retryable: fault.retryable,
      outcome: outcomeText(fault),
    },
  });
}

/** The HTTP response of a fault. Header names are in lower case. */
export interface FaultResponse {
  readonly status: number;
  readonly headers: Record<string, string>;
  readonly body: string;
}

/** Builds the response of a fault. */
export function faultResponse(fault: Fault): FaultResponse {
  const body = faultBody(fault);
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(body)),
  };
  if (fault.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.max(1, Math.ceil(fault.retryAfterMs / 1_000)));
  }
  return { status: FAULT_STATUS[fault.code].status, headers, body };
}
