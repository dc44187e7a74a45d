/** The state, events, effects and context of the per-request state machine. */
import type {
  AttemptId,
  BackendName,
  ClassName,
  DaemonName,
  Incarnation,
  RequestId,
  VersionName,
} from '../common/identifiers.js';
import type { Milliseconds, MonotonicMs } from '../common/time.js';
import type { StepContext, Transition } from '../common/transition.js';
import type { LogEffect } from '../logging/log-event.js';
import type { TableEffect, TableResult } from '../platform/table.js';
import type {
  AttemptEvent,
  RecordedOutcome,
  RequestDescription,
  RequestEffect,
  RequestNotice,
  RouteChoice,
} from './types.js';

/** What this daemon knows about the request's idempotency claim. */
type ClaimState =
  | { readonly kind: 'none' }
  /** A write was sent and no answer arrived: the row may or may not exist. */
  | { readonly kind: 'uncertain' }
  | { readonly kind: 'held'; readonly version: number };

/** The final state of the claim row once the request has ended. */
export type Settlement =
  | { readonly kind: 'record'; readonly outcome: RecordedOutcome }
  /** Delete the row: the request was not run, or may safely run again. */
  | { readonly kind: 'release' };

/** The phase of a request. */
type RequestPhase =
  /** Waits for the answer to the insert of its claim, or to the read-back of its claim. */
  | { readonly kind: 'claiming'; readonly step: 'insert' | 'read-back'; readonly tries: number }
  | { readonly kind: 'waiting'; readonly since: MonotonicMs }
  | { readonly kind: 'attempting'; readonly attempt: AttemptId; readonly backend: BackendName }
  /** The request has ended; its claim row is not known to be in its final state yet. */
  | {
      readonly kind: 'settling';
      readonly settlement: Settlement;
      readonly step: 'write' | 'read-back' | 'backing-off';
      readonly tries: number;
      readonly nextAt: MonotonicMs;
    }
  | { readonly kind: 'ended' };

/** The state of one request. Immutable. */
export interface RequestState {
  readonly description: RequestDescription;
  readonly phase: RequestPhase;
  /** Dispatches so far. */
  readonly attempts: number;
  /** Dispatches that were charged to the retry budget. */
  readonly retries: number;
  readonly excluded: readonly BackendName[];
  /** Attempts that broke after bytes may have been sent; above 0, no fault may claim `not run`. */
  readonly brokenAttempts: number;
  readonly overloadRefusals: number;
  readonly headersForwarded: boolean;
  /** The offset of the first token that the caller has not received. */
  readonly deliveredTokens: number;
  /**
   * The version that generated the delivered tokens; only an engine that holds this version may
   * resume the stream. Null before the first token.
   */
  readonly version: VersionName | null;
  readonly claim: ClaimState;
  /**
   * True when the caller has disconnected or has its final answer while the attempt runs to
   * completion, so that its outcome is recorded under the idempotency key.
   */
  readonly detached: boolean;
}

/** An event of one request. */
export type RequestEvent =
  | { readonly kind: 'start' }
  | { readonly kind: 'admitted' }
  | { readonly kind: 'attempt'; readonly event: AttemptEvent }
  | { readonly kind: 'caller-gone' }
  | { readonly kind: 'table-result'; readonly result: TableResult }
  /** Checks whether a deadline or back-off has expired. */
  | { readonly kind: 'tick' }
  /** The daemon ends now. */
  | { readonly kind: 'cut' };

/** What the request table needs from its daemon. */
export interface RequestTableContext extends StepContext {
  readonly daemon: DaemonName;
  readonly incarnation: Incarnation;
  /** Asks admission and routing for a backend; with a version, only for one that holds it. */
  choose(
    description: RequestDescription,
    excluded: readonly BackendName[],
    version: VersionName | null,
  ): RouteChoice;
  /** The engine priority of a class, from 0 (highest) to 9 (lowest). */
  priorityOf(className: ClassName): number;
  /** Expected time until a request like this one can be dispatched, from the current queue. */
  retryAfterMs(description: RequestDescription): Milliseconds;
  /** True only when that incarnation of a daemon has certainly ended. */
  hasIncarnationEnded(daemon: DaemonName, incarnation: Incarnation): boolean;
}

/** The input of a state machine step besides the state and the event. */
export interface RequestContext extends RequestTableContext {
  /** Whether the retry budget allows one more dispatch. */
  readonly mayRetry: boolean;
  /** Whether a request is still in this daemon's request table. */
  isTracked(request: RequestId): boolean;
}

/** All effects that a step of the state machine can produce. */
export type RequestTableEffect = RequestEffect | TableEffect | LogEffect | RequestNotice;

/** The result of one step. */
export type RequestTransition = Transition<RequestState, RequestTableEffect>;

/** Creates the state of a request that has just arrived. */
export function newRequest(description: RequestDescription): RequestState {
  return {
    description,
    phase: { kind: 'waiting', since: description.arrivedAt },
    attempts: 0,
    retries: 0,
    excluded: [],
    brokenAttempts: 0,
    overloadRefusals: 0,
    headersForwarded: false,
    deliveredTokens: 0,
    version: null,
    claim: { kind: 'none' },
    detached: false,
  };
}

/** Whether the caller still waits for an answer or a backend still works on the request. */
export function isActive(state: RequestState): boolean {
  return state.phase.kind !== 'settling' && state.phase.kind !== 'ended';
}

/** Prepends effects to those of a transition. */
export function prependEffects(
  effects: readonly RequestTableEffect[],
  transition: RequestTransition,
): RequestTransition {
  return { state: transition.state, effects: [...effects, ...transition.effects] };
}

/** Whether a tick may change the request. A cheap check that skips almost all requests. */
export function mayBeDue(state: RequestState, now: MonotonicMs): boolean {
  if (state.phase.kind === 'settling') return now >= state.phase.nextAt;
  if (state.headersForwarded) return state.phase.kind === 'waiting';
  return now >= state.description.deadline;
}
