/**
 * The per-request state machine: claim, admission, attempts with retry and resume, deadline, caller
 * disconnection, and settlement of the claim. Pure; docs/CALLER-API.md states the guarantees.
 */
import type { Fault } from '../errors/fault.js';
import { refusedNotRun } from '../errors/fault.js';
import type { TableResult } from '../platform/table.js';
import { attemptEndedNotice, handleAttemptEvent } from './attempt-request.js';
import { beginRequest, handleClaimResult } from './claim-request.js';
import { cutRequest } from './cut-request.js';
import { dispatchOrWait } from './dispatch-request.js';
import { answerAndDetach, finishCallerGone, finishFailed } from './finish-request.js';
import {
  prependEffects,
  type RequestContext,
  type RequestEvent,
  type RequestState,
  type RequestTransition,
} from './request-state.js';
import { handleSettlementResult, handleSettlementTick } from './settle-claim.js';

/** How long a partly delivered stream waits for an engine that can resume it. */
const MAX_RESUME_WAIT_MS = 10_000;

/** Applies one event of one request. Events that the current phase does not expect are ignored. */
export function stepRequest(
  state: RequestState,
  event: RequestEvent,
  context: RequestContext,
): RequestTransition {
  switch (event.kind) {
    case 'start':
      return beginRequest(state, context);
    case 'admitted':
      return state.phase.kind === 'waiting' ? dispatchOrWait(state, context) : ignore(state);
    case 'attempt':
      return handleAttemptEvent(state, event.event, context);
    case 'caller-gone':
      return handleCallerGone(state, context);
    case 'table-result':
      return handleTableResult(state, event.result, context);
    case 'tick':
      return handleTick(state, context);
    case 'cut':
      return cutRequest(state, context);
  }
}

function handleTableResult(
  state: RequestState,
  result: TableResult,
  context: RequestContext,
): RequestTransition {
  const phase = state.phase;
  if (phase.kind === 'claiming') return handleClaimResult(state, phase, result, context);
  if (phase.kind === 'settling') return handleSettlementResult(state, phase, result, context);
  return ignore(state);
}

function handleCallerGone(state: RequestState, context: RequestContext): RequestTransition {
  const phase = state.phase;
  switch (phase.kind) {
    case 'claiming':
      return finishCallerGone(withUncertainClaim(state), false, context);
    case 'waiting':
      return finishCallerGone(state, state.brokenAttempts > 0, context);
    case 'attempting':
      return handleCallerGoneWhileAttempting(state, context);
    case 'settling':
    case 'ended':
      return ignore(state);
  }
}

function handleCallerGoneWhileAttempting(
  state: RequestState,
  context: RequestContext,
): RequestTransition {
  if (state.detached) return ignore(state);
  if (mustRunToCompletion(state)) return { state: { ...state, detached: true }, effects: [] };
  return cancelThenFinish(state, (next) => finishCallerGone(next, true, context));
}

/** A keyed request that is not repeatable runs to completion, so that its outcome is recorded. */
function mustRunToCompletion(state: RequestState): boolean {
  return state.claim.kind === 'held' && !state.description.repeatable;
}

/** Marks the claim as uncertain: its answer is still pending and the row may already exist. */
function withUncertainClaim(state: RequestState): RequestState {
  return { ...state, claim: { kind: 'uncertain' } };
}

function handleTick(state: RequestState, context: RequestContext): RequestTransition {
  const phase = state.phase;
  if (phase.kind === 'settling') return handleSettlementTick(state, phase, context);
  if (phase.kind === 'ended' || state.detached) return ignore(state);
  if (state.headersForwarded) return handleResumeTick(state, context);
  if (context.now < state.description.deadline) return ignore(state);
  return handleDeadline(state, context);
}

function handleResumeTick(state: RequestState, context: RequestContext): RequestTransition {
  const phase = state.phase;
  if (phase.kind !== 'waiting' || context.now < phase.since + MAX_RESUME_WAIT_MS)
    return ignore(state);
  return finishFailed(state, NO_ENGINE_TO_RESUME, context);
}

function handleDeadline(state: RequestState, context: RequestContext): RequestTransition {
  const retryAfterMs = context.retryAfterMs(state.description);
  const notRunFault = refusedNotRun(
    'deadline-passed',
    'The request was not begun before its deadline. Try again after the time in Retry-After, or allow it longer with X-Threadfork-Deadline-Ms.',
    { retryAfterMs },
  );
  switch (state.phase.kind) {
    case 'claiming':
      return finishFailed(withUncertainClaim(state), notRunFault, context);
    case 'attempting':
      return handleDeadlineWhileAttempting(state, retryAfterMs, context);
    default:
      return finishFailed(state, notRunFault, context);
  }
}

function handleDeadlineWhileAttempting(
  state: RequestState,
  retryAfterMs: number,
  context: RequestContext,
): RequestTransition {
  const fault: Fault = {
    code: 'deadline-passed',
    message:
      'The backend had not answered at the deadline; the work may have run. Allow it longer with X-Threadfork-Deadline-Ms.',
    retryable: state.description.repeatable,
    outcome: 'unknown',
    retryAfterMs,
  };
  if (mustRunToCompletion(state)) return answerAndDetach(state, fault);
  return cancelThenFinish(state, (next) => finishFailed(next, fault, context));
}

function cancelThenFinish(
  state: RequestState,
  finish: (state: RequestState) => RequestTransition,
): RequestTransition {
  const phase = state.phase;
  if (phase.kind !== 'attempting') return finish(state);
  const request = state.description.id;
  const transition = finish(state);
  return prependEffects(
    [
      { kind: 'cancel', request, attempt: phase.attempt },
      attemptEndedNotice(state, phase, 'cancelled', ''),
    ],
    transition,
  );
}

const NO_ENGINE_TO_RESUME: Fault = {
  code: 'no-backend',
  message: 'The engine failed and no other could go on with the answer in time. Send it again.',
  retryable: true,
  outcome: 'unknown',
};

function ignore(state: RequestState): RequestTransition {
  return { state, effects: [] };
}
