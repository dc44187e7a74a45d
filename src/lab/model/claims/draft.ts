/**
 * A mutable claims world during one step: carries out the effects of the request reducer and records
 * violations.
 */
import type { FailureOutcome } from '../../../core/errors/fault.js';
import type { TableCall, TableEffect, TableResult } from '../../../core/platform/table.js';
import {
  type AttemptEvent,
  type RequestContext,
  type RequestEvent,
  type RequestTableEffect,
  stepRequest,
} from '../../../core/requests/index.js';
import type { Violation } from '../explorer.js';
import { applyCall } from '../table.js';
import {
  type Attempt,
  type ClaimsBudget,
  type ClaimsProtections,
  type ClaimsRequest,
  type ClaimsWorld,
  daemonName,
  type ReportedOutcome,
} from './world.js';

/** The names of the claims model's properties. */
export const CLAIMS_PROPERTIES = {
  outcome: '5 a refusal said "not run" of work that may run',
  once: '6 work that must not run twice ran twice',
} as const;

/** The fault of the first table call of a step. */
export type ClaimsTableFault = 'none' | 'late-call' | 'slow-answer' | 'unavailable';

type Mutable<T> = { -readonly [K in keyof T]: T[K] };

/** The claims world during one step. */
export class ClaimsDraft {
  readonly world: Mutable<ClaimsWorld>;
  readonly violations: Violation[] = [];
  readonly protections: ClaimsProtections;
  #fault: ClaimsTableFault;

  constructor(world: ClaimsWorld, protections: ClaimsProtections, fault: ClaimsTableFault) {
    this.world = { ...world };
    this.protections = protections;
    this.#fault = fault;
  }

  /** Whether a table call has been made that the requested fault applied to. */
  get isFaultSpent(): boolean {
    return this.#fault === 'none';
  }

  spend(kind: keyof ClaimsBudget): void {
    this.world.budget = { ...this.world.budget, [kind]: this.world.budget[kind] - 1 };
  }

  request(index: number): ClaimsRequest {
    const request = this.world.requests[index];
    if (request === undefined) throw new Error(`no request ${index}`);
    return request;
  }

  setRequest(index: number, change: Partial<ClaimsRequest>): void {
    this.world.requests = this.world.requests.map((request, at) => {
      return at === index ? { ...request, ...change } : request;
    });
  }

  setAttempt(id: string, change: Partial<Attempt>): void {
    this.world.attempts = this.world.attempts.map((attempt) => {
      return attempt.id === id ? { ...attempt, ...change } : attempt;
    });
  }

  /** Feeds an event to a request's reducer; `now` is the time by its daemon's clock. */
  feed(index: number, event: RequestEvent, now: number): void {
    const { state } = this.request(index);
    if (state === null) return;
    const next = stepRequest(state, event, this.#context(index, now));
    this.setRequest(index, { state: next.state });
    for (const effect of next.effects) this.#carryOut(index, effect);
  }

  /** Reports the end of an attempt, unless its sender no longer waits for it. */
  report(attempt: Attempt, event: AttemptEvent): void {
    if (!attempt.isAwaited) return;
    this.setAttempt(attempt.id, { isAwaited: false });
    this.feed(attempt.request, { kind: 'attempt', event }, 0);
  }

  callTable(call: TableCall): TableResult {
    const { table, result } = applyCall(this.world.table, call);
    this.world.table = table;
    return result;
  }

  /** The backend begins an attempt's work. */
  begin(attempt: Attempt): void {
    this.world.runs += 1;
    this.setAttempt(attempt.id, { phase: 'running' });
    if (this.world.runs > 1) {
      const detail = `${attempt.id} begins, run number ${this.world.runs}`;
      this.violations.push({ property: CLAIMS_PROPERTIES.once, detail });
    }
    if (this.request(attempt.request).reportedOutcome === 'not run') {
      const detail = `${attempt.id} begins after its caller got "not run"`;
      this.violations.push({ property: CLAIMS_PROPERTIES.outcome, detail });
    }
  }

  /** The complete answer has arrived; the caller gets it unless it has had another outcome. */
  recordAnswer(attempt: Attempt): void {
    const { reportedOutcome } = this.request(attempt.request);
    if (reportedOutcome === null) this.setRequest(attempt.request, { reportedOutcome: 'answered' });
  }

  #context(index: number, now: number): RequestContext {
    const { daemon } = this.request(index);
    return {
      now,
      entropy: 0,
      daemon: daemonName(daemon),
      incarnation: 1,
      mayRetry: this.world.budget.retryBudget > 0,
      choose: () => ({ kind: 'dispatch', backend: 'orders-1', address: '127.0.0.1', port: 1 }),
      priorityOf: () => 1,
      retryAfterMs: () => 1_000,
      hasIncarnationEnded: (name) => name === 'a' && this.world.isFirstKnownDead,
      isTracked: (id) => this.#isInHand(daemon, id),
    };
  }

  #isInHand(daemon: number, id: string): boolean {
    return this.world.requests.some((request) => {
      if (request.daemon !== daemon || request.state === null) return false;
      return request.state.description.id === id && request.state.phase.kind !== 'ended';
    });
  }

  #carryOut(index: number, effect: RequestTableEffect): void {
    switch (effect.kind) {
      case 'table':
        this.#table(index, effect);
        break;
      case 'dispatch':
        this.world.attempts = [
          ...this.world.attempts,
          { id: effect.attempt, request: index, phase: 'sent', isAwaited: true },
        ];
        break;
      case 'cancel':
        this.#cancel(effect.attempt);
        break;
      case 'refuse':
      case 'abort':
        this.#reportToCaller(index, reportedBy(effect.fault.outcome));
        break;
      case 'replay':
        this.#reportToCaller(index, 'replayed');
        break;
    }
  }

  /** Closes an attempt's connection: a request in flight may still arrive, running work may go on. */
  #cancel(id: string): void {
    const attempt = this.world.attempts.find((each) => each.id === id);
    if (attempt === undefined) return;
    const phase = attempt.phase === 'sent' ? 'astray' : attempt.phase;
    this.setAttempt(id, { phase, isAwaited: false });
  }

  #reportToCaller(index: number, reportedOutcome: ReportedOutcome): void {
    this.setRequest(index, { reportedOutcome });
    if (reportedOutcome !== 'not run') return;
    const attempt = this.world.attempts.find((each) => each.request === index);
    if (attempt === undefined || attempt.phase === 'ended') return;
    const detail = `the caller of ${attempt.id} gets "not run" while the attempt is ${attempt.phase}`;
    this.violations.push({ property: CLAIMS_PROPERTIES.outcome, detail });
  }

  #table(index: number, { call }: TableEffect): void {
    const fault = this.#fault;
    this.#fault = 'none';
    if (fault === 'unavailable') {
      this.answer(index, { kind: 'unavailable', reason: 'down', retryAfterMs: 0 });
      return;
    }
    if (fault === 'late-call') {
      this.world.messages = [...this.world.messages, { kind: 'call', call }];
      this.answer(index, { kind: 'lost', reason: 'timeout' });
      return;
    }
    const isSkipped = !this.protections.claims && call.kind === 'transact';
    const result: TableResult = isSkipped ? { kind: 'committed', rows: [] } : this.callTable(call);
    if (fault === 'slow-answer') {
      this.world.messages = [...this.world.messages, { kind: 'answer', request: index, result }];
      return;
    }
    this.answer(index, result);
  }

  /** Passes a table result to the request that made the call. */
  answer(index: number, result: TableResult): void {
    this.feed(index, { kind: 'table-result', result }, 0);
  }
}

function reportedBy(outcome: FailureOutcome): ReportedOutcome {
  return outcome === 'refused-not-run' ? 'not run' : 'unknown';
}
