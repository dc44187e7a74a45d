/**
 * All requests in flight at a daemon, in one container that is updated in place. Passes events to
 * the per-request state machine, tracks the retry budget and limits the number of unsettled
 * requests.
 */
import type { BackendName, ClassName, RequestId, VersionName } from '../common/identifiers.js';
import { refusedNotRun } from '../errors/fault.js';
import type { TableResultEvent } from '../platform/table.js';
import { STOPPING_NOT_RUN } from './cut-request.js';
import {
  isActive,
  mayBeDue,
  newRequest,
  type RequestContext,
  type RequestEvent,
  type RequestState,
  type RequestTableContext,
  type RequestTableEffect,
} from './request-state.js';
import {
  creditRequest,
  INITIAL_RETRY_BUDGET,
  mayRetry,
  type RetryBudget,
  spendRetry,
} from './retry-budget.js';
import { stepRequest } from './step-request.js';
import type { AttemptEvent, RequestDescription, RouteChoice } from './types.js';

/** Maximum number of ended requests with unsettled claims; above it, keyed requests are refused. */
const MAX_SETTLING_REQUESTS = 1_000;

/**
 * Events that the daemon passes to the table. The first three come unchanged from the HTTP shell.
 */
export type RequestTableEvent =
  | { readonly kind: 'request-arrived'; readonly description: RequestDescription }
  | { readonly kind: 'attempt'; readonly request: RequestId; readonly event: AttemptEvent }
  | { readonly kind: 'caller-gone'; readonly request: RequestId }
  /** Admission allows a waiting request to be dispatched. */
  | { readonly kind: 'admitted'; readonly request: RequestId }
  /** Results whose token has another prefix than `request:` are ignored. */
  | TableResultEvent
  | { readonly kind: 'tick' }
  /** The daemon ends now: ends all requests, and refuses those that still arrive. */
  | { readonly kind: 'cut' };

const TOKEN_PREFIX = 'request:';
const NO_EFFECTS: readonly RequestTableEffect[] = [];

/** The requests in flight of one daemon. */
export class RequestTable {
  readonly #requests = new Map<RequestId, RequestState>();
  #settling = 0;
  #budget: RetryBudget = INITIAL_RETRY_BUDGET;
  #isCut = false;

  /** Requests that are not settling. A planned stop waits until this is 0. */
  get activeCount(): number {
    return this.#requests.size - this.#settling;
  }

  /** Ended requests with unsettled idempotency claims. A planned stop waits for these too. */
  get settlingCount(): number {
    return this.#settling;
  }

  /** The state of a request in the table, for `explain request`. */
  get(request: RequestId): RequestState | undefined {
    return this.#requests.get(request);
  }

  /** The states of all requests in the table. */
  values(): IterableIterator<RequestState> {
    return this.#requests.values();
  }

  /** Applies one event and returns the effects to execute, in order. */
  step(event: RequestTableEvent, context: RequestTableContext): readonly RequestTableEffect[] {
    switch (event.kind) {
      case 'request-arrived':
        return this.#handleArrival(event.description, context);
      case 'attempt':
        return this.#applyEvent(event.request, event, context);
      case 'caller-gone':
      case 'admitted':
        return this.#applyEvent(event.request, event, context);
      case 'table-result':
        return this.#handleTableResult(event, context);
      case 'tick':
        return this.#handleTick(context);
      case 'cut':
        return this.#handleCut(context);
    }
  }

  #handleArrival(
    description: RequestDescription,
    context: RequestTableContext,
  ): readonly RequestTableEffect[] {
    if (this.#isCut) return [{ kind: 'refuse', request: description.id, fault: STOPPING_NOT_RUN }];
    this.#budget = creditRequest(this.#budget);
    if (description.idempotencyKey !== null && this.#settling >= MAX_SETTLING_REQUESTS) {
      return [{ kind: 'refuse', request: description.id, fault: TOO_MANY_UNSETTLED }];
    }
    this.#requests.set(description.id, newRequest(description));
    return this.#applyEvent(description.id, START, context);
  }

  #handleTableResult(
    event: TableResultEvent,
    context: RequestTableContext,
  ): readonly RequestTableEffect[] {
    if (!event.token.startsWith(TOKEN_PREFIX)) return NO_EFFECTS;
    return this.#applyEvent(event.token.slice(TOKEN_PREFIX.length), event, context);
  }

  #handleTick(context: RequestTableContext): readonly RequestTableEffect[] {
    const effects: RequestTableEffect[] = [];
    for (const [request, state] of this.#requests) {
      if (mayBeDue(state, context.now)) effects.push(...this.#applyEvent(request, TICK, context));
    }
    return effects;
  }

  #handleCut(context: RequestTableContext): readonly RequestTableEffect[] {
    this.#isCut = true;
    return [...this.#requests.keys()].flatMap((request) => this.#applyEvent(request, CUT, context));
  }

  #applyEvent(
    request: RequestId,
    event: RequestEvent,
    context: RequestTableContext,
  ): readonly RequestTableEffect[] {
    const before = this.#requests.get(request);
    if (before === undefined) return NO_EFFECTS;
    const requestContext = new PerRequestContext(context, mayRetry(this.#budget), this.#requests);
    const { state, effects } = stepRequest(before, event, requestContext);
    if (state !== before) this.#store(request, before, state);
    return effects;
  }

  #store(request: RequestId, before: RequestState, after: RequestState): void {
    if (after.retries > before.retries) this.#budget = spendRetry(this.#budget);
    const wasSettling = before.phase.kind === 'settling';
    const isSettling = after.phase.kind === 'settling';
    if (isSettling && !wasSettling) this.#settling += 1;
    if (wasSettling && !isSettling) this.#settling -= 1;
    if (after.phase.kind === 'ended') this.#requests.delete(request);
    else this.#requests.set(request, after);
  }
}

/** The daemon's context, extended with the table's own state. */
class PerRequestContext implements RequestContext {
  readonly #tableContext: RequestTableContext;
  readonly #requests: ReadonlyMap<RequestId, RequestState>;
  readonly mayRetry: boolean;
  readonly now: number;
  readonly entropy: number;
  readonly daemon: string;
  readonly incarnation: number;

  constructor(
    tableContext: RequestTableContext,
    retryAllowed: boolean,
    requests: ReadonlyMap<RequestId, RequestState>,
  ) {
    this.#tableContext = tableContext;
    this.#requests = requests;
    this.mayRetry = retryAllowed;
    this.now = tableContext.now;
    this.entropy = tableContext.entropy;
    this.daemon = tableContext.daemon;
    this.incarnation = tableContext.incarnation;
  }

  choose(
    description: RequestDescription,
    excluded: readonly BackendName[],
    version: VersionName | null,
  ): RouteChoice {
    return this.#tableContext.choose(description, excluded, version);
  }

  priorityOf(className: ClassName): number {
    return this.#tableContext.priorityOf(className);
  }

  retryAfterMs(description: RequestDescription): number {
    return this.#tableContext.retryAfterMs(description);
  }

  hasIncarnationEnded(daemon: string, incarnation: number): boolean {
    return this.#tableContext.hasIncarnationEnded(daemon, incarnation);
  }

  isTracked(request: RequestId): boolean {
    const state = this.#requests.get(request);
    return state !== undefined && (isActive(state) || state.phase.kind === 'settling');
  }
}

const START: RequestEvent = { kind: 'start' };
const TICK: RequestEvent = { kind: 'tick' };
const CUT: RequestEvent = { kind: 'cut' };

const TOO_MANY_UNSETTLED = refusedNotRun(
  'store-unavailable',
  'Too many outcomes of idempotency keys wait for the table service, so the request was not run. Try again later.',
  { retryAfterMs: 5_000 },
);
