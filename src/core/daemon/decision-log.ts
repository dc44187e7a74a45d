/** The latest routing decisions of a daemon, for `explain request`. Bounded; updated in place. */
import type { RequestId } from '../common/identifiers.js';
import type { RequestDescription, RequestNotice } from '../requests/index.js';
import type { RoutingDecision, WebDecision } from '../routing/index.js';

/** Requests kept in the log; the oldest is evicted first. */
const MAX_REQUESTS = 1_024;
/** Latest decisions kept for one request. */
const MAX_DECISIONS = 8;

/** One routing decision, as shown to operators. */
export interface LoggedDecision {
  readonly outcome: 'chosen' | 'full' | 'none';
  readonly backend: string | null;
  /** Null for web backends. */
  readonly expectedFinishMs: number | null;
  readonly candidateCount: number | null;
  readonly reason: string;
}

/** A request and its routing decisions, oldest first. */
export interface LoggedRequest {
  readonly description: RequestDescription;
  readonly decisions: readonly LoggedDecision[];
  readonly end: Extract<RequestNotice, { kind: 'request-ended' }> | null;
}

export class DecisionLog {
  readonly #requests = new Map<RequestId, LoggedRequest>();

  record(description: RequestDescription, decision: RoutingDecision | WebDecision): void {
    const known = this.#requests.get(description.id);
    const decisions = [...(known?.decisions ?? []), describe(decision)].slice(-MAX_DECISIONS);
    this.#requests.set(description.id, { description, decisions, end: known?.end ?? null });
    this.#forgetOldest();
  }

  recordEnd(notice: Extract<RequestNotice, { kind: 'request-ended' }>): void {
    const { description } = notice;
    const decisions = this.#requests.get(description.id)?.decisions ?? [];
    this.#requests.set(description.id, { description, decisions, end: notice });
    this.#forgetOldest();
  }

  get(id: RequestId): LoggedRequest | undefined {
    return this.#requests.get(id);
  }

  /** The request that was added to the log last. */
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
