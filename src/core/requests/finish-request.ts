/**
 * The ways in which a request ends: answered, refused, aborted, replayed or abandoned by its
 * caller. Each decides whether the idempotency claim is recorded or released, and keeps the outcome
 * correct: once an attempt broke after bytes may have been sent, no outcome claims that the request
 * was not run.
 */
import type { Fault } from '../errors/fault.js';
import { REQUEST_EVENTS } from '../logging/catalogue/requests.js';
import { log } from '../logging/log-event.js';
import {
  prependEffects,
  type RequestContext,
  type RequestState,
  type RequestTableEffect,
  type RequestTransition,
  type Settlement,
} from './request-state.js';
import { beginSettlement } from './settle-claim.js';
import type { AttemptEvent, RecordedOutcome, RequestResult } from './types.js';

type CompletedEvent = Extract<AttemptEvent, { kind: 'completed' }>;

/** Changes a fault's outcome to `unknown` when an attempt broke and may have run the request. */
function withTrueOutcome(state: RequestState, fault: Fault): Fault {
  if (state.brokenAttempts === 0) return fault;
  return { ...fault, outcome: 'unknown', retryable: state.description.repeatable };
}

/** Ends a request whose complete answer was forwarded to the caller. */
export function finishAnswered(
  state: RequestState,
  event: CompletedEvent,
  context: RequestContext,
): RequestTransition {
  const outcome = event.outcome ?? { kind: 'answered-too-large-to-replay', status: 200 };
  const notice = endedNotice(state, 'answered', event.promptTokens, event.outputTokens);
  return prependEffects([notice], settle(state, { kind: 'record', outcome }, context));
}

/** Ends a request with a fault, sent as its answer or, after the headers, as a visible abort. */
export function finishFailed(
  state: RequestState,
  fault: Fault,
  context: RequestContext,
): RequestTransition {
  const finalFault = withTrueOutcome(state, fault);
  const effects: RequestTableEffect[] = [];
  if (!state.detached) effects.push(answerWith(state, finalFault));
  if (finalFault.outcome === 'unknown') effects.push(outcomeUnknownLog(state, finalFault));
  effects.push(endedNotice(state, finalFault.outcome, 0, 0));
  return prependEffects(effects, settle(state, chooseSettlement(state, finalFault), context));
}

/** Ends a request whose caller disconnected. `mayHaveRun`: a backend may have received it. */
export function finishCallerGone(
  state: RequestState,
  mayHaveRun: boolean,
  context: RequestContext,
): RequestTransition {
  const fault: Fault = {
    code: 'idempotency-outcome-unknown',
    message: 'The first caller went away while the work ran. Ask the service whether it was done.',
    retryable: false,
    outcome: mayHaveRun ? 'unknown' : 'refused-not-run',
  };
  const notice = endedNotice(state, 'caller-gone', 0, 0);
  return prependEffects([notice], settle(state, chooseSettlement(state, fault), context));
}

/** Ends a request with the outcome that is already recorded under its key. */
export function finishReplayed(state: RequestState, outcome: RecordedOutcome): RequestTransition {
  return {
    state: { ...state, phase: { kind: 'ended' } },
    effects: [
      { kind: 'replay', request: state.description.id, outcome },
      endedNotice(state, 'replayed', 0, 0),
    ],
  };
}

/** Sends the caller its final answer; the attempt continues, so that its outcome is recorded. */
export function answerAndDetach(state: RequestState, fault: Fault): RequestTransition {
  return {
    state: { ...state, detached: true },
    effects: [answerWith(state, fault)],
  };
}

function answerWith(state: RequestState, fault: Fault): RequestTableEffect {
  const kind = state.headersForwarded ? 'abort' : 'refuse';
  return { kind, request: state.description.id, fault };
}

function chooseSettlement(state: RequestState, fault: Fault): Settlement {
  const mayRunAgain = fault.outcome === 'refused-not-run' || state.description.repeatable;
  if (mayRunAgain) return { kind: 'release' };
  return { kind: 'record', outcome: { kind: 'failed', fault } };
}

function settle(
  state: RequestState,
  settlement: Settlement,
  context: RequestContext,
): RequestTransition {
  if (state.claim.kind === 'none') {
    return { state: { ...state, phase: { kind: 'ended' } }, effects: [] };
  }
  return beginSettlement(state, settlement, context);
}

function endedNotice(
  state: RequestState,
  result: RequestResult,
  promptTokens: number,
  outputTokens: number,
): RequestTableEffect {
  return {
    kind: 'request-ended',
    description: state.description,
    result,
    attempts: state.attempts,
    promptTokens,
    outputTokens,
  };
}

function outcomeUnknownLog(state: RequestState, fault: Fault): RequestTableEffect {
  return log(REQUEST_EVENTS.outcomeUnknown, {
    request: state.description.id,
    tenant: state.description.tenant,
    code: fault.code,
    repeatable: state.description.repeatable,
  });
}
