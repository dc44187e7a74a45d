/**
 * Handles the end of an attempt: not sent, refused, broken or completed. A retry of a request that
 * was certainly not run is charged to the retry budget. A request whose backend failed while it ran
 * is dispatched once more without a charge: it was already admitted, and the failed attempt no
 * longer takes up capacity.
 */
import type { Fault } from '../errors/fault.js';
import { refusedNotRun } from '../errors/fault.js';
import { REQUEST_EVENTS } from '../logging/catalogue/requests.js';
import { log } from '../logging/log-event.js';
import { dispatchOrWait } from './dispatch-request.js';
import { finishAnswered, finishFailed } from './finish-request.js';
import {
  prependEffects,
  type RequestContext,
  type RequestState,
  type RequestTableEffect,
  type RequestTransition,
} from './request-state.js';
import type { AttemptEvent, AttemptResult } from './types.js';

/** Maximum number of dispatches of one request, regardless of the retry budget. */
export const MAX_ATTEMPTS = 4;
/** Refusal codes of engines that mean overload: a retry elsewhere only moves the load. */
const OVERLOAD_REASONS: ReadonlySet<string> = new Set(['engine-full']);
/** Number of other engines to try after an engine has refused a request as full. */
const MAX_OVERLOAD_RETRIES = 1;
/** Number of dispatches after a broken attempt that are not charged to the retry budget. */
const UNBUDGETED_RESUMES = 1;
const DEFAULT_RETRY_AFTER_MS = 1_000;

type AttemptingPhase = Extract<RequestState['phase'], { kind: 'attempting' }>;
type BrokenEvent = Extract<AttemptEvent, { kind: 'broken' }>;
type RefusedEvent = Extract<AttemptEvent, { kind: 'refused-not-run' }>;

/** Applies an event of an attempt from the shell. Events of earlier attempts are ignored. */
export function handleAttemptEvent(
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
      return prependEffects(
        [attemptEndedNotice(state, phase, 'completed', '')],
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

/** Builds the notice that an attempt has ended. */
export function attemptEndedNotice(
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
  const ended = attemptEndedNotice(state, phase, 'not-sent', reason);
  return prependEffects([ended], retryOrFail(excludeBackend(state, phase), fault, context));
}

function handleRefusal(
  state: RequestState,
  phase: AttemptingPhase,
  event: RefusedEvent,
  context: RequestContext,
): RequestTransition {
  const ended = attemptEndedNotice(state, phase, 'refused', event.reason);
  const overload = OVERLOAD_REASONS.has(event.reason);
  const overloadRefusals = state.overloadRefusals + (overload ? 1 : 0);
  const next = { ...excludeBackend(state, phase), overloadRefusals };
  const fault = refusalFault(event, overload);
  const transition =
    overloadRefusals > MAX_OVERLOAD_RETRIES
      ? finishFailed(next, fault, context)
      : retryOrFail(next, fault, context);
  return prependEffects([ended], transition);
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
    return prependEffects([line], finishFailed(state, fault, context));
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
    attemptEndedNotice(state, phase, 'broken', event.reason),
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
  return prependEffects(effects, transition);
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
