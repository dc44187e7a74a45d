/** Ends the requests that are left as their daemon stops: each gets an error that is true of it. */
import type { Fault } from '../errors/fault.js';
import { refusedNotRun } from '../errors/fault.js';
import { REQUEST_EVENTS } from '../logging/catalogue/requests.js';
import { log } from '../logging/log-event.js';
import { attemptEndedNotice } from './attempt-request.js';
import { finishFailed } from './finish-request.js';
import {
  prependEffects,
  type RequestContext,
  type RequestState,
  type RequestTableEffect,
  type RequestTransition,
} from './request-state.js';

/** For requests that came or were left before a backend was asked. */
export const STOPPING_NOT_RUN: Fault = refusedNotRun(
  'stopping',
  'This daemon stops, and the request was not begun. Send it to another daemon.',
  { retryable: true },
);

/** Ends a request, whatever its phase. */
export function cutRequest(state: RequestState, context: RequestContext): RequestTransition {
  const { phase } = state;
  switch (phase.kind) {
    case 'claiming':
      return finishCut({ ...state, claim: { kind: 'uncertain' } }, STOPPING_NOT_RUN, context);
    case 'waiting':
      return finishCut(state, STOPPING_NOT_RUN, context);
    case 'attempting': {
      const ended: readonly RequestTableEffect[] = [
        { kind: 'cancel', request: state.description.id, attempt: phase.attempt },
        attemptEndedNotice(state, phase, 'cancelled', ''),
      ];
      return prependEffects(ended, finishCut(state, cutWhileRunning(state), context));
    }
    case 'settling':
    case 'ended':
      return { state, effects: [] };
  }
}

function finishCut(state: RequestState, fault: Fault, context: RequestContext): RequestTransition {
  const { description, phase } = state;
  const line = log(REQUEST_EVENTS.cutByStop, {
    request: description.id,
    tenant: description.tenant,
    phase: phase.kind,
    backend: phase.kind === 'attempting' ? phase.backend : '',
    attempts: state.attempts,
    ageMs: Math.round(context.now - description.arrivedAt),
    answerBegun: state.headersForwarded,
    deliveredTokens: state.deliveredTokens,
  });
  return prependEffects([line], finishFailed(state, fault, context));
}

function cutWhileRunning({ description: { repeatable } }: RequestState): Fault {
  const remedy = repeatable
    ? 'Send the request to another daemon.'
    : 'The work may have run: ask the service before sending it again.';
  return {
    code: 'stopping',
    message: `This daemon stopped before the backend had answered. ${remedy}`,
    retryable: repeatable,
    outcome: 'unknown',
  };
}
