/**
 * Handles table results: intent rows read, writes committed, conflicts, lost answers.
 */
import { backoff } from '../common/jitter.js';
import type { StepContext, Transition } from '../common/transition.js';
import { epochKey } from '../lease/index.js';
import { ORDER_EVENTS } from '../logging/catalogue/orders.js';
import { log } from '../logging/log-event.js';
import { describeAction, type IntentRow, intentKey, isUnresolved } from '../orders/index.js';
import type { TableResult, TableResultEvent, TableRow } from '../platform/table.js';
import { withControl } from './moves.js';
import { resourceOfPool } from './resource.js';
import type { ControllerState, EngineControl, PendingRead } from './state.js';
import type { ControllerOutput } from './types.js';

type ControllerTransition = Transition<ControllerState, ControllerOutput>;

const TABLE_BACKOFF = { firstMs: 100, maxMs: 5_000 } as const;
/** The back-off before an engine's next intent after one that failed or was abandoned. */
const CHANGE_BACKOFF = { firstMs: 2_000, maxMs: 120_000 } as const;

/** Handles a table result; results of calls that are no longer awaited are ignored. */
export function receiveTableResult(
  state: ControllerState,
  event: TableResultEvent,
  context: StepContext,
): ControllerTransition {
  if (state.read?.token === event.token) {
    return receiveRead({ ...state, read: null }, state.read, event.result, context);
  }
  for (const control of state.engines.values()) {
    if (control.write?.token !== event.token) continue;
    return receiveWrite(
      state,
      { ...control, write: null },
      control.write.row,
      event.result,
      context,
    );
  }
  return { state, effects: [] };
}

function receiveRead(
  state: ControllerState,
  read: PendingRead,
  result: TableResult,
  context: StepContext,
): ControllerTransition {
  if (result.kind !== 'rows') return tableFailed(state, result, context);
  let next: ControllerState = { ...state, tableFailures: 0 };
  const effects: ControllerOutput[] = [];
  for (const engine of read.engines) {
    const control = state.engines.get(engine);
    const row = result.rows.find((candidate) => candidate.key === intentKey(engine));
    if (control === undefined || row === undefined) continue;
    next = withControl(next, recordIntent(control, row, context));
    effects.push(...logTakeOver(state, control, row));
  }
  return { state: next, effects };
}

function recordIntent(control: EngineControl, row: TableRow, context: StepContext): EngineControl {
  const value = row.value as IntentRow | null;
  const drainStartedAt = isUnresolved(value) ? (control.drainStartedAt ?? context.now) : null;
  const intent = { version: row.version, value, knownAt: context.now };
  return { ...control, intent, drainStartedAt, progress: 'unasked' };
}

function logTakeOver(
  state: ControllerState,
  control: EngineControl,
  row: TableRow,
): ControllerOutput[] {
  const value = row.value as IntentRow | null;
  if (!isUnresolved(value) || value.epoch === state.authority?.epoch) return [];
  const action = describeAction(value.action);
  return [log(ORDER_EVENTS.takenOver, { engine: control.engine, order: value.orderId, action })];
}

function receiveWrite(
  state: ControllerState,
  control: EngineControl,
  row: IntentRow,
  result: TableResult,
  context: StepContext,
): ControllerTransition {
  const key = intentKey(control.engine);
  switch (result.kind) {
    case 'committed': {
      const written = result.rows.find((candidate) => candidate.key === key);
      if (written === undefined) return invalidateIntent(state, control);
      const cleared: ControllerState = { ...state, tableFailures: 0 };
      return settleWrite(cleared, control, row, written.version, context);
    }
    case 'conflict':
      return receiveConflict(state, control, row, result.rows, context);
    case 'lost':
      return tableFailed(withControl(state, { ...control, intent: null }), result, context);
    default:
      return tableFailed(withControl(state, control), result, context);
  }
}

function settleWrite(
  state: ControllerState,
  control: EngineControl,
  row: IntentRow,
  version: number,
  context: StepContext,
): ControllerTransition {
  const intent = { version, value: row, knownAt: context.now };
  if (row.phase !== 'settled') {
    const drainStartedAt = control.drainStartedAt ?? context.now;
    // The order has not been sent yet: it is sent only after the write of `ordered` is committed.
    const next: EngineControl = { ...control, intent, drainStartedAt, progress: 'not-run' };
    return { state: withControl(state, next), effects: [] };
  }
  const failedChanges = row.outcome === 'done' ? 0 : control.failedChanges + 1;
  const wait = failedChanges === 0 ? 0 : backoff(CHANGE_BACKOFF, failedChanges, context.entropy);
  const next: EngineControl = {
    ...control,
    intent,
    drainStartedAt: null,
    failedChanges,
    nextChangeAt: context.now + wait,
  };
  const fields = { engine: control.engine, order: row.orderId, outcome: row.outcome };
  const action = describeAction(row.action);
  return {
    state: withControl(state, next),
    effects: [log(ORDER_EVENTS.orderSettled, { ...fields, action })],
  };
}

/**
 * Handles a write conflict. If the epoch row has changed, this controller is deposed. If the intent
 * row has changed, either an earlier attempt of the same write took effect late and counts as
 * committed, or the row is read again.
 */
function receiveConflict(
  state: ControllerState,
  control: EngineControl,
  row: IntentRow,
  rows: readonly TableRow[],
  context: StepContext,
): ControllerTransition {
  const epochRow = epochKey(resourceOfPool(state.settings.pool));
  if (rows.some((candidate) => candidate.key === epochRow)) {
    const deposedEpoch = state.authority?.epoch ?? state.deposedEpoch;
    return { state: { ...withControl(state, control), deposedEpoch }, effects: [] };
  }
  const present = rows.find((candidate) => candidate.key === intentKey(control.engine));
  const value = (present?.value ?? null) as IntentRow | null;
  if (present !== undefined && value !== null && isSameRow(value, row)) {
    return settleWrite(state, control, row, present.version, context);
  }
  return invalidateIntent(state, control);
}

function isSameRow(left: IntentRow, right: IntentRow): boolean {
  return (
    left.orderId === right.orderId &&
    left.epoch === right.epoch &&
    left.phase === right.phase &&
    left.outcome === right.outcome
  );
}

function invalidateIntent(state: ControllerState, control: EngineControl): ControllerTransition {
  return { state: withControl(state, { ...control, intent: null }), effects: [] };
}

function tableFailed(
  state: ControllerState,
  result: TableResult,
  context: StepContext,
): ControllerTransition {
  const tableFailures = state.tableFailures + 1;
  const requestedDelayMs = result.kind === 'unavailable' ? result.retryAfterMs : 0;
  const wait = Math.max(requestedDelayMs, backoff(TABLE_BACKOFF, tableFailures, context.entropy));
  const effects =
    tableFailures === 1
      ? [log(ORDER_EVENTS.tableUnavailable, { pool: state.settings.pool, result: result.kind })]
      : [];
  return { state: { ...state, tableFailures, tableRetryAt: context.now + wait }, effects };
}
