/**
 * The claims model: idempotency claims, and the outcomes that the request reducer reports to callers.
 */
import type { AttemptEvent } from '../../../core/requests/index.js';
import type { Model, Outcome } from '../explorer.js';
import { ClaimsDraft, type ClaimsTableFault } from './draft.js';
import {
  type Attempt,
  arrivedRequest,
  type ClaimsBudget,
  type ClaimsProtections,
  type ClaimsWorld,
  DEADLINE_MS,
  initialClaimsWorld,
  type LateMessage,
  NO_CLAIMS_FAULTS,
} from './world.js';

export { CLAIMS_PROPERTIES } from './draft.js';

/** How often each fault may occur in one run; a fault left out does not occur. */
export type ClaimsScope = Partial<ClaimsBudget>;

/** One possible step. */
type ClaimsStep =
  | {
      readonly kind: 'arrive' | 'retry-settling' | 'deadline' | 'caller-gone';
      readonly request: number;
      readonly fault: ClaimsTableFault;
    }
  | {
      readonly kind: 'refuse' | 'break' | 'complete';
      readonly attempt: Attempt;
      readonly fault: ClaimsTableFault;
    }
  | { readonly kind: 'begin'; readonly attempt: Attempt }
  | { readonly kind: 'deliver'; readonly message: LateMessage; readonly fault: ClaimsTableFault }
  | { readonly kind: 'kill' }
  | { readonly kind: 'learn-of-kill' };

/** Builds the claims model. */
export function claimsModel(
  name: string,
  scope: ClaimsScope,
  without: Partial<ClaimsProtections> = {},
): Model<ClaimsWorld, ClaimsStep> {
  const protections = { claims: true, truthfulRefusals: true, ...without };
  return {
    name,
    initial: initialClaimsWorld({ ...NO_CLAIMS_FAULTS, ...scope }),
    steps: stepsOf,
    apply: (world, step) => applyStep(world, step, protections),
    key: keyOf,
    describe: describeStep,
    goals: goalsOf,
  };
}

function stepsOf(world: ClaimsWorld): ClaimsStep[] {
  const steps: ClaimsStep[] = [];
  const { budget } = world;
  const withFaults = <T extends object>(step: T) =>
    faultsOf(budget).map((fault) => ({ ...step, fault }));
  for (const [
    request,
    { daemon, state, hasArrived, reportedOutcome },
  ] of world.requests.entries()) {
    const isAlive = daemon !== 0 || world.isFirstAlive;
    if (!hasArrived && isAlive) steps.push(...withFaults({ kind: 'arrive' as const, request }));
    if (state === null || state.phase.kind === 'ended') continue;
    if (state.phase.kind === 'settling') {
      const isDue = state.phase.step === 'backing-off';
      if (isDue) steps.push(...withFaults({ kind: 'retry-settling' as const, request }));
      continue;
    }
    if (reportedOutcome !== null) continue;
    if (budget.deadlines > 0) steps.push(...withFaults({ kind: 'deadline' as const, request }));
    if (budget.callersGone > 0)
      steps.push(...withFaults({ kind: 'caller-gone' as const, request }));
  }
  for (const attempt of world.attempts) steps.push(...attemptSteps(attempt, budget, withFaults));
  for (const message of world.messages) {
    if (message.kind === 'call') steps.push({ kind: 'deliver', message, fault: 'none' });
    else steps.push(...withFaults({ kind: 'deliver' as const, message }));
  }
  if (world.isFirstAlive && budget.kills > 0) steps.push({ kind: 'kill' });
  if (!world.isFirstAlive && !world.isFirstKnownDead) steps.push({ kind: 'learn-of-kill' });
  return steps;
}

function faultsOf(budget: ClaimsBudget): ClaimsTableFault[] {
  const faults: ClaimsTableFault[] = ['none'];
  if (budget.lateTableCalls > 0) faults.push('late-call');
  if (budget.slowTableAnswers > 0) faults.push('slow-answer');
  if (budget.unavailable > 0) faults.push('unavailable');
  return faults;
}

function attemptSteps(
  attempt: Attempt,
  budget: ClaimsBudget,
  withFaults: <T extends object>(step: T) => (T & { readonly fault: ClaimsTableFault })[],
): ClaimsStep[] {
  const steps: ClaimsStep[] = [];
  const { phase, isAwaited } = attempt;
  if (phase === 'sent' || phase === 'astray') steps.push({ kind: 'begin', attempt });
  if (phase === 'running') steps.push(...withFaults({ kind: 'complete' as const, attempt }));
  if (phase === 'sent' && budget.refusals > 0) {
    steps.push(...withFaults({ kind: 'refuse' as const, attempt }));
  }
  if (isAwaited && phase !== 'ended' && budget.breaks > 0) {
    steps.push(...withFaults({ kind: 'break' as const, attempt }));
  }
  return steps;
}

function applyStep(
  world: ClaimsWorld,
  step: ClaimsStep,
  protections: ClaimsProtections,
): Outcome<ClaimsWorld> | null {
  const fault = 'fault' in step ? step.fault : 'none';
  const draft = new ClaimsDraft(world, protections, fault);
  if (fault === 'late-call') draft.spend('lateTableCalls');
  if (fault === 'slow-answer') draft.spend('slowTableAnswers');
  if (fault === 'unavailable') draft.spend('unavailable');
  performStep(draft, step);
  return draft.isFaultSpent ? { world: draft.world, violations: draft.violations } : null;
}

function performStep(draft: ClaimsDraft, step: ClaimsStep): void {
  switch (step.kind) {
    case 'arrive': {
      const state = arrivedRequest(step.request, draft.request(step.request).daemon);
      draft.setRequest(step.request, { state, hasArrived: true });
      draft.feed(step.request, { kind: 'start' }, 0);
      break;
    }
    case 'retry-settling':
      draft.feed(step.request, { kind: 'tick' }, Number.MAX_SAFE_INTEGER);
      break;
    case 'deadline':
      draft.spend('deadlines');
      draft.feed(step.request, { kind: 'tick' }, DEADLINE_MS);
      break;
    case 'caller-gone':
      draft.spend('callersGone');
      draft.feed(step.request, { kind: 'caller-gone' }, 0);
      break;
    case 'begin':
      draft.begin(step.attempt);
      break;
    case 'refuse':
    case 'break':
    case 'complete':
      endAttempt(draft, step.kind, step.attempt);
      break;
    case 'deliver':
      draft.world.messages = draft.world.messages.filter((each) => each !== step.message);
      if (step.message.kind === 'call') draft.callTable(step.message.call);
      else draft.answer(step.message.request, step.message.result);
      break;
    case 'kill':
      kill(draft);
      break;
    case 'learn-of-kill':
      draft.world.isFirstKnownDead = true;
      break;
  }
}

function endAttempt(
  draft: ClaimsDraft,
  kind: 'refuse' | 'break' | 'complete',
  attempt: Attempt,
): void {
  const { id } = attempt;
  if (kind === 'refuse') {
    draft.spend('refusals');
    draft.setAttempt(id, { phase: 'ended' });
    draft.report(attempt, { kind: 'refused-not-run', attempt: id, reason: 'engine-busy' });
    return;
  }
  if (kind === 'complete') {
    draft.setAttempt(id, { phase: 'ended' });
    if (attempt.isAwaited) draft.recordAnswer(attempt);
    draft.report(attempt, { kind: 'completed', attempt: id, promptTokens: 0, outputTokens: 0 });
    return;
  }
  draft.spend('breaks');
  if (attempt.phase === 'sent') draft.setAttempt(id, { phase: 'astray' });
  draft.report(attempt, brokenEvent(draft, id));
}

/** The mutated shell reports a connection that broke before an answer as work that was not run. */
function brokenEvent(draft: ClaimsDraft, attempt: string): AttemptEvent {
  if (!draft.protections.truthfulRefusals) {
    return { kind: 'refused-not-run', attempt, reason: 'connection-broken' };
  }
  const reason = 'connection-broken';
  return {
    kind: 'broken',
    attempt,
    reason,
    deliveredTokens: 0,
    headersForwarded: false,
    version: null,
  };
}

/** Kills the first daemon; the attempts that it sent stay in flight. */
function kill(draft: ClaimsDraft): void {
  draft.spend('kills');
  const { world } = draft;
  world.isFirstAlive = false;
  world.requests = world.requests.map((request) => {
    return request.daemon === 0 ? { ...request, state: null, hasArrived: true } : request;
  });
  world.attempts = world.attempts.map((attempt) => {
    if (world.requests[attempt.request]?.daemon !== 0) return attempt;
    const phase = attempt.phase === 'sent' ? 'astray' : attempt.phase;
    return { ...attempt, phase, isAwaited: false };
  });
}

function keyOf(world: ClaimsWorld): string {
  const requests = world.requests.map(({ state, hasArrived, reportedOutcome }) => {
    if (state === null) return [hasArrived, reportedOutcome];
    const { description, ...rest } = state;
    return [{ ...rest, phase: withoutTimes(state.phase) }, reportedOutcome];
  });
  const { table, isFirstAlive, isFirstKnownDead, attempts, messages, budget, runs } = world;
  const late = messages.map((message) => JSON.stringify(message)).sort();
  return JSON.stringify([
    requests,
    table,
    isFirstAlive,
    isFirstKnownDead,
    attempts,
    late,
    budget,
    runs,
  ]);
}

function withoutTimes(phase: object): object {
  return { ...phase, nextAt: 0, since: 0 };
}

function goalsOf(world: ClaimsWorld): string[] {
  const goals = world.requests.flatMap(({ reportedOutcome }) =>
    reportedOutcome === null ? [] : [`told ${reportedOutcome}`],
  );
  if (world.runs > 0) goals.push('work ran');
  return goals;
}

function describeStep(step: ClaimsStep): string {
  const fault = 'fault' in step && step.fault !== 'none' ? ` (${step.fault})` : '';
  switch (step.kind) {
    case 'kill':
      return 'daemon a is killed';
    case 'learn-of-kill':
      return 'daemon b learns that a is dead';
    case 'deliver':
      return `a late table ${step.message.kind} arrives${fault}`;
    case 'begin':
    case 'refuse':
    case 'break':
    case 'complete':
      return `${step.kind} ${step.attempt.id}${fault}`;
    default:
      return `${step.kind} request ${step.request}${fault}`;
  }
}
