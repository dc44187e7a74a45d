/**
 * What becomes of a request when its attempt is refused, fails, breaks or completes. A retry of
 * what was certainly not run is drawn from the retry budget. Work that broke with its backend is
 * sent elsewhere once without drawing on it: it was admitted, and its old place is gone.
 */
import type { Fault } from '../errors/fault.js';
import { refusedNotRun } from '../errors/fault.js';
import { REQUEST_EVENTS } from '../logging/catalogue/requests.js';
import { log } from '../logging/log-event.js';
import { dispatchOrWait } from './dispatch-request.js';
import { finishAnswered, finishFailed } from './finish-request.js';
import {
  afterEffects,
  type RequestContext,
  type RequestState,
  type RequestTableEffect,
  type RequestTransition,
} from './request-state.js';
import type { AttemptEvent, AttemptResult } from './types.js';

/** Dispatches of one request at most, whatever the budget. */
export const MAX_ATTEMPTS = 4;
/** The engine's refusal codes that mean overload: retrying them elsewhere only moves the load. */
const OVERLOAD_REASONS: ReadonlySet<string> = new Set(['engine-full']);
/** Engines that may be asked after one has said that it is full. */
const MAX_OVERLOAD_RETRIES = 1;
/** Re-dispatches of broken work that the budget is not asked for. */
const UNBUDGETED_RESUMES = 1;
const DEFAULT_RETRY_AFTER_MS = 1_000;

type AttemptingPhase = Extract<RequestState['phase'], { kind: 'attempting' }>;
type BrokenEvent = Extract<AttemptEvent, { kind: 'broken' }>;
type RefusedEvent = Extract<AttemptEvent, { kind: 'refused-not-run' }>;

/** Takes what the shell reports of an attempt; reports of any but the current one are too late. */
export function attemptEvent(
  state: RequestState,
  event: AttemptEvent,
  context: RequestContext,
): RequestTransition {
  const phase = state.phase;
  if (phase.kind !== 'attempting' || phase.attempt !== event.attempt) return { state, effects: [] };
  switch (event.kind) {
    case 'first-byte':
      return { state: { ...state, headersForwarded: true }, effects: [] };
    case 'completed':
      return afterEffects(
        [attemptEnded(state, phase, 'completed', '')],
        finishAnswered(state, event, context),
      );
    case 'not-sent':
      return handleNotSent(state, phase, event.reason, context);
    case 'refused-not-run':
      return handleRefusal(state, phase, event, context);
    case 'broken':
      return handleBroken(state, phase, event, context);
  }
}

/** The notice that an attempt is over. */
export function attemptEnded(
  state: RequestState,
  phase: AttemptingPhase,
  result: AttemptResult,
  reason: string,
): RequestTableEffect {
  return {
    kind: 'attempt-ended',
    description: state.description,
    attempt: phase.attempt,
    backend: phase.backend,
    result,
    reason,
  };
}

function handleNotSent(
  state: RequestState,
  phase: AttemptingPhase,
  reason: string,
  context: RequestContext,
): RequestTransition {
  const fault = refusedNotRun(
    'no-backend',
    `The backend could not be reached (${reason}). Try again after the time in Retry-After.`,
    { retryAfterMs: DEFAULT_RETRY_AFTER_MS },
  );
  const ended = attemptEnded(state, phase, 'not-sent', reason);
  return afterEffects([ended], retryOrFail(excludeBackend(state, phase), fault, context));
}

function handleRefusal(
  state: RequestState,
  phase: AttemptingPhase,
  event: RefusedEvent,
  context: RequestContext,
): RequestTransition {
  const ended = attemptEnded(state, phase, 'refused', event.reason);
  const overload = OVERLOAD_REASONS.has(event.reason);
  const overloadAnswers = state.overloadAnswers + (overload ? 1 : 0);
  const next = { ...excludeBackend(state, phase), overloadAnswers };
  const fault = refusalFault(event, overload);
  const transition =
    overloadAnswers > MAX_OVERLOAD_RETRIES
      ? finishFailed(next, fault, context)
      : retryOrFail(next, fault, context);
  return afterEffects([ended], transition);
}

function refusalFault(event: RefusedEvent, overload: boolean): Fault {
  const retryAfterMs = event.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
  if (overload) {
    return refusedNotRun(
      'overloaded',
      'The engines are full. Try again after the time in Retry-After.',
      { retryAfterMs },
    );
  }
  return refusedNotRun(
    'backend-refused',
    `The backend did not take the request (${event.reason}). Try again after the time in Retry-After.`,
    { retryAfterMs },
  );
}

function retryOrFail(
  state: RequestState,
  fault: Fault,
  context: RequestContext,
): RequestTransition {
  if (state.detached || state.attempts >= MAX_ATTEMPTS) return finishFailed(state, fault, context);
  if (!context.mayRetry) {
    const line = log(REQUEST_EVENTS.retryBudgetEmpty, { request: state.description.id });
    return afterEffects([line], finishFailed(state, fault, context));
  }
  return dispatchOrWait({ ...state, retries: state.retries + 1 }, context);
}

function handleBroken(
  state: RequestState,
  phase: AttemptingPhase,
  event: BrokenEvent,
  context: RequestContext,
): RequestTransition {
  const next: RequestState = {
    ...excludeBackend(state, phase),
    brokenAttempts: state.brokenAttempts + 1,
    headersForwarded: state.headersForwarded || event.headersForwarded,
    deliveredTokens: Math.max(state.deliveredTokens, event.deliveredTokens),
    version: event.version ?? state.version,
  };
  const resends = mayResend(next);
  const effects = [
    attemptEnded(state, phase, 'broken', event.reason),
    log(REQUEST_EVENTS.attemptBroken, {
      request: state.description.id,
      backend: phase.backend,
      reason: event.reason,
      sentAgain: resends,
    }),
  ];
  const transition = resends
    ? resumeElsewhere(next, event, context)
    : finishFailed(next, brokenFault(next, event.reason), context);
  return afterEffects(effects, transition);
}

function mayResend(state: RequestState): boolean {
  if (!state.description.repeatable || state.detached) return false;
  if (!state.headersForwarded) return true;
  return state.description.streamed && state.description.target.kind === 'model';
}

function resumeElsewhere(
  state: RequestState,
  event: BrokenEvent,
  context: RequestContext,
): RequestTransition {
  const fault = brokenFault(state, event.reason);
  if (state.brokenAttempts > UNBUDGETED_RESUMES) return retryOrFail(state, fault, context);
  if (state.attempts >= MAX_ATTEMPTS) return finishFailed(state, fault, context);
  return dispatchOrWait(state, context);
}

function brokenFault(state: RequestState, reason: string): Fault {
  const repeatable = state.description.repeatable;
  const remedy = repeatable
    ? 'Send the request again.'
    : 'The work may have run: ask the service before sending it again.';
  return {
    code: 'backend-broken',
    message: `The backend failed while it had the request (${reason}). ${remedy}`,
    retryable: repeatable,
    outcome: 'unknown',
  };
}

function excludeBackend(state: RequestState, phase: AttemptingPhase): RequestState {
  return { ...state, excluded: [...state.excluded, phase.backend] };
}
