/** Sends a request to the backend that admission and routing choose, or queues the request. */
import type { AttemptId } from '../common/identifiers.js';
import { finishFailed } from './finish-request.js';
import type { RequestContext, RequestState, RequestTransition } from './request-state.js';
import type { RouteChoice } from './types.js';

type DispatchChoice = Extract<RouteChoice, { kind: 'dispatch' }>;

/** Obtains a routing choice for the request and applies it. */
export function dispatchOrWait(state: RequestState, context: RequestContext): RequestTransition {
  const choice = context.choose(state.description, state.excluded, state.version);
  switch (choice.kind) {
    case 'dispatch':
      return dispatch(state, choice, context);
    case 'wait':
      return { state: { ...state, phase: { kind: 'waiting', since: context.now } }, effects: [] };
    case 'refuse':
      return finishFailed(state, choice.fault, context);
  }
}

function dispatch(
  state: RequestState,
  choice: DispatchChoice,
  context: RequestContext,
): RequestTransition {
  const description = state.description;
  const attempts = state.attempts + 1;
  const attempt: AttemptId = `${description.id}.${attempts}`;
  return {
    state: {
      ...state,
      attempts,
      phase: { kind: 'attempting', attempt, backend: choice.backend },
    },
    effects: [
      { kind: 'attempt-started', description, attempt, backend: choice.backend },
      {
        kind: 'dispatch',
        request: description.id,
        attempt,
        backend: choice.backend,
        address: choice.address,
        port: choice.port,
        resumeOffset: state.deliveredTokens,
        priority: context.priorityOf(description.className),
        ...(choice.sendBefore === undefined ? {} : { sendBefore: choice.sendBefore }),
      },
    ],
  };
}
