/** Caller requests: types, the per-request state machine and the table of requests in flight. */
export { MAX_ATTEMPTS } from './attempt-request.js';
export type {
  RequestContext,
  RequestEvent,
  RequestState,
  RequestTableContext,
  RequestTableEffect,
  RequestTransition,
} from './request-state.js';
export { newRequest } from './request-state.js';
export { RequestTable, type RequestTableEvent } from './request-table.js';
export { stepRequest } from './step-request.js';
export {
  type AttemptEvent,
  type AttemptResult,
  GRANT_LAPSED,
  type RecordedOutcome,
  type RequestDescription,
  type RequestEffect,
  type RequestNotice,
  type RequestResult,
  type RequestTarget,
  type RouteChoice,
} from './types.js';
