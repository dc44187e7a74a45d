/**
 * What to do next for one engine: a pure function of what the controller knows. Called only while
 * the authority is in force and nothing of the engine's is in flight.
 */
import type { MonotonicMs } from '../common/time.js';
import type { IntentRow, OrderAction } from '../orders/index.js';
import { isSameAction, isUnresolved } from '../orders/index.js';
import type { EngineReport, EngineView, Intake } from '../registry/backend.js';
import { nextAction } from './next-action.js';
import { mayTakeOutOfService, type PoolAvailability } from './pool-availability.js';
import type { ControllerState, EngineControl, KnownIntent } from './state.js';
import type { DesiredEngine } from './types.js';

/** One thing to do for an engine. */
export type Move =
  | { readonly kind: 'wait' }
  | {
      readonly kind: 'begin';
      readonly action: OrderAction;
      readonly boot: string;
      readonly reason: string;
    }
  | { readonly kind: 'mark-ordered' }
  | { readonly kind: 'settle'; readonly outcome: 'done' | 'failed' | 'abandoned' }
  | { readonly kind: 'hold'; readonly intake: Intake; readonly boot: string }
  | { readonly kind: 'order' }
  | { readonly kind: 'query' };

/** Nothing to do now. */
export const WAIT: Move = { kind: 'wait' };

/** An engine whose row has been read and that has been heard from. */
interface Subject {
  readonly state: ControllerState;
  readonly availability: PoolAvailability;
  readonly control: EngineControl;
  readonly intent: KnownIntent;
  readonly view: EngineView;
  readonly report: EngineReport;
  readonly desired: DesiredEngine | undefined;
  readonly now: MonotonicMs;
}

/** Decides the next move for an engine. */
export function decide(
  state: ControllerState,
  availability: PoolAvailability,
  control: EngineControl,
  now: MonotonicMs,
): Move {
  const view = state.views.get(control.engine);
  const report = view?.report ?? null;
  if (control.intent === null || view === undefined || report === null) return WAIT;
  const desired = state.desired.get(control.engine);
  const subject = {
    state,
    availability,
    control,
    intent: control.intent,
    view,
    report,
    desired,
    now,
  };
  const row = control.intent.value;
  return isUnresolved(row) ? decideUnresolved(subject, row) : decideResolved(subject);
}

/** An intent is unresolved: bring it to its end before anything else. */
function decideUnresolved(subject: Subject, row: IntentRow): Move {
  const { control } = subject;
  if (hasEnded(subject, row)) return { kind: 'settle', outcome: 'failed' };
  if (control.outranked || subject.now < control.retryAt) return WAIT;
  if (control.fencedBoot !== row.boot) return closeIntake(row);
  return row.phase === 'draining' ? decideDraining(subject, row) : decideOrdered(subject, row);
}

function decideDraining(subject: Subject, row: IntentRow): Move {
  if (!isStillWanted(subject, row)) return { kind: 'settle', outcome: 'abandoned' };
  if (subject.control.intake !== 'closed') return closeIntake(row);
  return isDrained(subject, row) ? { kind: 'mark-ordered' } : WAIT;
}

function decideOrdered(subject: Subject, row: IntentRow): Move {
  const { control } = subject;
  switch (control.progress) {
    case 'unasked':
    case 'running':
      return { kind: 'query' };
    case 'done':
    case 'failed':
      return { kind: 'settle', outcome: control.progress };
    case 'not-run':
      return decideNotRun(subject, row);
  }
}

/** The order is known not to have run; a late copy of it may still arrive unless it is sealed. */
function decideNotRun(subject: Subject, row: IntentRow): Move {
  const { control } = subject;
  if (!isStillWanted(subject, row)) {
    const isSealed = control.fencedSequence > control.orderSequence;
    return isSealed ? { kind: 'settle', outcome: 'abandoned' } : closeIntake(row);
  }
  if (control.intake !== 'closed') return closeIntake(row);
  return isDrained(subject, row) ? { kind: 'order' } : WAIT;
}

/** No intent is unresolved: raise the fence once, then change or open. */
function decideResolved(subject: Subject): Move {
  const { control, report, now } = subject;
  if (control.outranked || now < control.retryAt) return WAIT;
  if (control.endedBoot === report.boot) return WAIT;
  if (control.fencedBoot !== report.boot) {
    return { kind: 'hold', intake: 'open', boot: report.boot };
  }
  const next = nextChange(subject);
  if (next !== null) return next;
  if (control.intake === 'open') return WAIT;
  return { kind: 'hold', intake: 'open', boot: report.boot };
}

function nextChange(subject: Subject): Move | null {
  const { state, availability, control, intent, view, report, desired, now } = subject;
  if (desired === undefined || now < control.nextChangeAt || now < state.tableRetryAt) return null;
  if (view.reportedAt <= intent.knownAt || report.busy) return null;
  if (report.leaving || view.machine.state === 'leaving') return null;
  const action = nextAction(desired, report);
  if (action === null || !mayTakeOutOfService(state, availability, control.engine)) return null;
  return { kind: 'begin', action, boot: report.boot, reason: desired.reason };
}

function closeIntake(row: IntentRow): Move {
  return { kind: 'hold', intake: 'closed', boot: row.boot };
}

/** The engine life that the order was for is over, by a report newer than the row or by its word. */
function hasEnded(subject: Subject, row: IntentRow): boolean {
  if (subject.control.endedBoot === row.boot) return true;
  return subject.report.boot !== row.boot && subject.view.reportedAt > subject.intent.knownAt;
}

/** Whether the order is still what the desired state asks for and its drain is within the limit. */
function isStillWanted(subject: Subject, row: IntentRow): boolean {
  const { control, desired, report, state, now } = subject;
  if (control.drainStartedAt === null || desired === undefined) return false;
  if (now >= control.drainStartedAt + state.settings.drainTimeoutMs) return false;
  const action = nextAction(desired, report);
  return action !== null && isSameAction(action, row.action);
}

/** No grant is left anywhere, and a report asked for after that shows the engine idle. */
function isDrained(subject: Subject, row: IntentRow): boolean {
  const { control, report, state, view } = subject;
  if (control.closedAt === null || report.boot !== row.boot) return false;
  if (view.reportedAt < control.closedAt + state.settings.grantLapseMs) return false;
  if (control.busyAt !== null && view.reportedAt <= control.busyAt) return false;
  return report.intake === 'closed' && !report.busy && report.activeRequests === 0;
}
