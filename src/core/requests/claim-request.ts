/**
 * Claims a request's idempotency key before the request is dispatched. When the answer to the claim
 * is lost, the row is read back; nothing is dispatched until the claim is known to be held.
 */
import type { Fault } from '../errors/fault.js';
import { refusedNotRun } from '../errors/fault.js';
import { REQUEST_EVENTS } from '../logging/catalogue/requests.js';
import { log } from '../logging/log-event.js';
import type { TableResult, TableRow } from '../platform/table.js';
import { type ClaimFinding, claimKey, pendingClaim, readClaim } from './claim.js';
import { dispatchOrWait } from './dispatch-request.js';
import { finishFailed, finishReplayed } from './finish-request.js';
import {
  prependEffects,
  type RequestContext,
  type RequestState,
  type RequestTransition,
} from './request-state.js';
import { tableCall } from './settle-claim.js';

/** Maximum number of table calls for one claim; after these, the request is refused. */
const MAX_CLAIM_CALLS = 6;
/** Retry-After for a repeat whose key belongs to a request that is still in progress. */
const IN_PROGRESS_RETRY_AFTER_MS = 1_000;

type ClaimingPhase = Extract<RequestState['phase'], { kind: 'claiming' }>;

/** Starts with the claim, or dispatches at once when the request has no idempotency key. */
export function beginRequest(state: RequestState, context: RequestContext): RequestTransition {
  const key = claimKey(state.description);
  return key === null ? dispatchOrWait(state, context) : insertClaim(state, key, 0, 1, context);
}

/** Handles the table service's answer to the insert of a claim or to its read-back. */
export function handleClaimResult(
  state: RequestState,
  phase: ClaimingPhase,
  result: TableResult,
  context: RequestContext,
): RequestTransition {
  switch (result.kind) {
    case 'committed':
      return proceedWithClaim(state, result.rows[0]?.version ?? 1, context);
    case 'rows':
    case 'conflict':
      return handleExistingRow(state, phase, result.rows[0], context);
    case 'unavailable':
      return finishFailed(state, storeUnavailable(result.retryAfterMs), context);
    case 'lost':
      return readBackClaim(state, phase, context);
  }
}

function insertClaim(
  state: RequestState,
  key: string,
  version: number,
  tries: number,
  context: RequestContext,
): RequestTransition {
  const value = pendingClaim(state.description, context);
  return {
    state: { ...state, phase: { kind: 'claiming', step: 'insert', tries } },
    effects: [
      tableCall(state, {
        kind: 'transact',
        checks: [{ key, version }],
        writes: [{ key, value }],
      }),
    ],
  };
}

function readBackClaim(
  state: RequestState,
  phase: ClaimingPhase,
  context: RequestContext,
): RequestTransition {
  const uncertain: RequestState =
    phase.step === 'insert' ? { ...state, claim: { kind: 'uncertain' } } : state;
  if (phase.tries >= MAX_CLAIM_CALLS) {
    return finishFailed(uncertain, storeUnavailable(IN_PROGRESS_RETRY_AFTER_MS), context);
  }
  const key = claimKey(state.description) ?? '';
  return {
    state: { ...uncertain, phase: { kind: 'claiming', step: 'read-back', tries: phase.tries + 1 } },
    effects: [
      log(REQUEST_EVENTS.claimLost, { request: state.description.id }),
      tableCall(state, { kind: 'get', keys: [key] }),
    ],
  };
}

function handleExistingRow(
  state: RequestState,
  phase: ClaimingPhase,
  row: TableRow | undefined,
  context: RequestContext,
): RequestTransition {
  const finding = readClaim(row, state.description, (daemon, incarnation, request) =>
    isOrphaned(daemon, incarnation, request, context),
  );
  switch (finding.kind) {
    case 'own':
      return proceedWithClaim(state, finding.version, context);
    case 'absent':
      return claimAtVersion(state, phase, 0, context);
    case 'orphaned':
      return handleOrphaned(state, phase, finding, context);
    case 'recorded':
      return finishReplayed(state, finding.outcome);
    case 'other-body':
      return failWithoutClaim(state, DIFFERENT_BODY, context);
    case 'in-progress':
      return failWithoutClaim(state, IN_PROGRESS, context);
    case 'unreadable':
      return failWithoutClaim(state, UNREADABLE, context);
  }
}

/**
 * Whether the holder of a claim can no longer finish its request. A claim of this daemon's current
 * incarnation is orphaned once its request has left the request table.
 */
function isOrphaned(
  daemon: string,
  incarnation: number,
  request: string,
  context: RequestContext,
): boolean {
  const isOwn = daemon === context.daemon && incarnation === context.incarnation;
  return isOwn ? !context.isTracked(request) : context.hasIncarnationEnded(daemon, incarnation);
}

function handleOrphaned(
  state: RequestState,
  phase: ClaimingPhase,
  finding: Extract<ClaimFinding, { kind: 'orphaned' }>,
  context: RequestContext,
): RequestTransition {
  if (state.description.repeatable) return claimAtVersion(state, phase, finding.version, context);
  // The row may have been read just before its outcome was recorded. An insert at version 0 makes
  // the table service return the current row as a conflict.
  if (phase.tries < 2) return claimAtVersion(state, phase, 0, context);
  return failWithoutClaim(state, HOLDER_DIED, context);
}

function claimAtVersion(
  state: RequestState,
  phase: ClaimingPhase,
  version: number,
  context: RequestContext,
): RequestTransition {
  if (phase.tries >= MAX_CLAIM_CALLS) {
    return finishFailed(state, storeUnavailable(IN_PROGRESS_RETRY_AFTER_MS), context);
  }
  return insertClaim(state, claimKey(state.description) ?? '', version, phase.tries + 1, context);
}

function proceedWithClaim(
  state: RequestState,
  version: number,
  context: RequestContext,
): RequestTransition {
  return prependEffects(
    [],
    dispatchOrWait({ ...state, claim: { kind: 'held', version } }, context),
  );
}

/** Another request holds the key, so an uncertain claim of this request was not written. */
function failWithoutClaim(
  state: RequestState,
  fault: Fault,
  context: RequestContext,
): RequestTransition {
  return finishFailed({ ...state, claim: { kind: 'none' } }, fault, context);
}

function storeUnavailable(retryAfterMs: number): Fault {
  return refusedNotRun(
    'store-unavailable',
    'The table service that keeps idempotency keys cannot be reached, so the request was not run. Try again later, or without an Idempotency-Key if running it twice does no harm.',
    { retryAfterMs },
  );
}

const DIFFERENT_BODY = refusedNotRun(
  'idempotency-conflict',
  'This Idempotency-Key was used with another request. Use a new key for a new request.',
);

const IN_PROGRESS = refusedNotRun(
  'idempotency-in-progress',
  'The first request with this Idempotency-Key is still at work. Ask again with the same key.',
  { retryAfterMs: IN_PROGRESS_RETRY_AFTER_MS },
);

const UNREADABLE: Fault = {
  code: 'internal',
  message: 'The row of this Idempotency-Key cannot be read. Ask the operator to look at it.',
  retryable: false,
  outcome: 'unknown',
};

const HOLDER_DIED: Fault = {
  code: 'idempotency-outcome-unknown',
  message:
    'The daemon that took the first request with this Idempotency-Key died before it recorded an outcome. Ask the service whether the work was done; use a new key to run it again.',
  retryable: false,
  outcome: 'unknown',
};
