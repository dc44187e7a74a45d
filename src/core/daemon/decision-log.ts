/** The latest routing decisions of a daemon, for `explain request`. Bounded, updated in place. */
import type { RequestId } from '../common/identifiers.js';
import type { RequestDescription, RequestNotice } from '../requests/index.js';
import type { RoutingDecision, WebDecision } from '../routing/index.js';

/** Requests remembered at most; the oldest is forgotten first. */
const MAX_REQUESTS = 1_024;
/** Decisions remembered for one request. */
const MAX_DECISIONS = 8;

/** One decision in words. */
export interface LoggedDecision {
  readonly outcome: 'chosen' | 'full' | 'none';
  readonly backend: string | null;
  /** Null for web backends. */
  readonly expectedFinishMs: number | null;
  readonly candidateCount: number | null;
  readonly reason: string;
}

/** A request and the decisions taken for it, oldest first. */
export interface LoggedRequest {
  readonly description: RequestDescription;
  readonly decisions: readonly LoggedDecision[];
  readonly end: Extract<RequestNotice, { kind: 'request-ended' }> | null;
}

/** The log. */
export class DecisionLog {
  readonly #requests = new Map<RequestId, LoggedRequest>();

  /** Remembers a decision. */
  record(description: RequestDescription, decision: RoutingDecision | WebDecision): void {
    const known = this.#requests.get(description.id);
    const decisions = [...(known?.decisions ?? []), describe(decision)].slice(-MAX_DECISIONS);
    this.#requests.set(description.id, { description, decisions, end: known?.end ?? null });
    this.#forgetOldest();
  }

  /** Remembers how a request ended. */
  recordEnd(notice: Extract<RequestNotice, { kind: 'request-ended' }>): void {
    const { description } = notice;
    const decisions = this.#requests.get(description.id)?.decisions ?? [];
    this.#requests.set(description.id, { description, decisions, end: notice });
    this.#forgetOldest();
  }

  /** A request by id. */
  get(id: RequestId): LoggedRequest | undefined {
    return this.#requests.get(id);
  }

  /** The latest request. */
  latest(): LoggedRequest | undefined {
    return [...this.#requests.values()].at(-1);
  }

  #forgetOldest(): void {
    if (this.#requests.size <= MAX_REQUESTS) {
      return;
    }
    const oldest = this.#requests.keys().next();
    if (oldest.done !== true) {
      this.#requests.delete(oldest.value);
    }
  }
}

function describe(decision: RoutingDecision | WebDecision): LoggedDecision {
  const candidateCount = 'candidateCount' in decision ? decision.candidateCount : null;
  if (decision.kind !== 'chosen') {
    const reason = decision.kind === 'none' ? decision.fault.message : 'every candidate is full';
    return {
      outcome: decision.kind,
      backend: null,
      expectedFinishMs: null,
      candidateCount,
      reason,
    };
  }
  const isEngine = 'engine' in decision;
  return {
    outcome: 'chosen',
    backend: isEngine ? decision.engine : decision.backend,
    expectedFinishMs: isEngine ? decision.expectedFinishMs : null,
    candidateCount,
    reason: isEngine ? `policy ${decision.policy}` : 'fewest in flight of two drawn',
  };
}
