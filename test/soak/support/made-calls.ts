/** Calls of a made-up run, for the tests of what judges a run. */
import type { CallEnd, CallRecord, RequestClass, RouteKind } from '../../../soak/record.js';
import { completeBody } from '../../../soak/response-bodies.js';

export const STAMP = 's1.1';

export function classOf(kind: RouteKind): RequestClass {
  return {
    name: 'c',
    pathPrefix: '/c/',
    kind,
    attempts: 2,
    timeoutMs: 1_000,
    targetLatencyMs: 100,
    isResumable: kind === 'streaming',
    share: 1,
  };
}

export function answered(fields: Partial<Extract<CallEnd, { kind: 'answered' }>> = {}): CallEnd {
  return {
    kind: 'answered',
    status: 200,
    stamp: STAMP,
    body: completeBody('r1', STAMP),
    isComplete: true,
    retryAfterMs: undefined,
    ...fields,
  };
}

/** A call that was answered and reached no server. */
export function madeCall(fields: Partial<CallRecord> = {}): CallRecord {
  return {
    id: 'r1',
    requestClass: classOf('non-idempotent'),
    daemon: 'd1',
    incarnation: 1,
    tenant: 'tenant',
    apiKey: 'key',
    body: '',
    outputTokens: 3,
    isRetry: false,
    sentMs: 30_000,
    deadlineMs: 33_000,
    endedMs: 30_030,
    end: answered(),
    arrivals: [],
    ...fields,
  };
}
