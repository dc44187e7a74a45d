/**
 * Decides the next move for one engine, as a pure function of the controller's state. Called only
 * while the authority is in force and the engine has no message or write in flight.
 */
import type { MonotonicMs } from '../common/time.js';
import type { IntentRow, OrderAction } from '../orders/index.js';
import { isSameAction, isUnresolved } from '../orders/index.js';
import type { EngineReport, EngineView, Intake } from '../registry/backend.js';
import { nextAction } from './next-action.js';
import { mayTakeOutOfService, type PoolAvailability } from './pool-availability.js';
import type { ControllerState, EngineControl, KnownIntent } from './state.js';
import type { DesiredEngine } from './types.js';

/** A message, a write or a wait that the controller decides on for one engine. */
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

/** No message or write is due now. */
export const WAIT: Move = { kind: 'wait' };

/** An engine whose intent row has been read and that has reported. */
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

/** An unresolved intent must be settled before any other change. */
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

/**
 * The order has not run. A delayed copy may still arrive until the engine has acknowledged a fence
 * higher than the order's: only then may the intent be abandoned.
 */
function decideNotRun(subject: Subject, row: IntentRow): Move {
  const { control } = subject;
  if (!isStillWanted(subject, row)) {
    const isSealed = control.fencedSequence > control.orderSequence;
    return isSealed ? { kind: 'settle', outcome: 'abandoned' } : closeIntake(row);
  }
  if (control.intake !== 'closed') return closeIntake(row);
  return isDrained(subject, row) ? { kind: 'order' } : WAIT;
}

/** Without an unresolved intent: raise the fence once, then begin a change or open the intake. */
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

/** Whether the order's boot has ended, by the engine's answer or a report newer than the row. */
function hasEnded(subject: Subject, row: IntentRow): boolean {
  if (subject.control.endedBoot === row.boot) return true;
  return subject.report.boot !== row.boot && subject.view.reportedAt > subject.intent.knownAt;
}

/** Whether the desired state still requires the order and its drain is within the time limit. */
function isStillWanted(subject: Subject, row: IntentRow): boolean {
  const { control, desired, report, state, now } = subject;
  if (control.drainStartedAt === null || desired === undefined) return false;
  if (now >= control.drainStartedAt + state.settings.drainTimeoutMs) return false;
  const action = nextAction(desired, report);
  return action !== null && isSameAction(action, row.action);
}

/** Whether all grants have lapsed and a report requested after that shows the engine idle. */
function isDrained(subject: Subject, row: IntentRow): boolean {
  const { control, report, state, view } = subject;
  if (control.closedAt === null || report.boot !== row.boot) return false;
  if (view.reportedAt < control.closedAt + state.settings.grantLapseMs) return false;
  if (control.busyAt !== null && view.reportedAt <= control.busyAt) return false;
  return report.intake === 'closed' && !report.busy && report.activeRequests === 0;
}
