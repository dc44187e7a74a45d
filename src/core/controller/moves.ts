/**
 * Carries out a move: table writes and messages to the engine.
 */
import type { Transition } from '../common/transition.js';
import type { Authority } from '../lease/index.js';
import { epochKey } from '../lease/index.js';
import { ORDER_EVENTS } from '../logging/catalogue/orders.js';
import { log } from '../logging/log-event.js';
import type { IntentRow, Order, OrderAction } from '../orders/index.js';
import { describeAction, intentKey } from '../orders/index.js';
import type { Endpoint, Fence } from '../registry/backend.js';
import type { Move } from './decide.js';
import { resourceOfPool } from './resource.js';
import type { ControllerState, EngineControl, PendingSend } from './state.js';
import type { ControllerOutput } from './types.js';

type ControllerTransition = Transition<ControllerState, ControllerOutput>;

/** Carries out a move under an authority that the caller has checked. */
export function executeMove(
  state: ControllerState,
  control: EngineControl,
  move: Move,
  authority: Authority,
): ControllerTransition {
  const row = control.intent?.value ?? null;
  switch (move.kind) {
    case 'wait':
      return { state, effects: [] };
    case 'begin':
      return begin(state, control, move, authority);
    case 'hold':
      return hold(state, control, move, authority);
    case 'mark-ordered':
      return row === null
        ? { state, effects: [] }
        : write(state, control, { ...row, phase: 'ordered', epoch: authority.epoch }, authority);
    case 'settle':
      return row === null
        ? { state, effects: [] }
        : settle(state, control, { ...row, epoch: authority.epoch }, move.outcome, authority);
    case 'order':
      return row === null ? { state, effects: [] } : sendOrder(state, control, row, authority);
    case 'query':
      return row === null ? { state, effects: [] } : query(state, control, row);
  }
}

function begin(
  state: ControllerState,
  control: EngineControl,
  move: Extract<Move, { kind: 'begin' }>,
  authority: Authority,
): ControllerTransition {
  const intents = state.intents + 1;
  const row: IntentRow = {
    orderId: `${state.settings.pool}.${authority.epoch}.${intents}`,
    boot: move.boot,
    action: move.action,
    epoch: authority.epoch,
    phase: 'draining',
    outcome: 'pending',
    reason: move.reason,
  };
  const fresh: EngineControl = { ...control, progress: 'not-run', orderSequence: 0, busyAt: null };
  const next = write({ ...state, intents }, fresh, row, authority);
  return {
    state: next.state,
    effects: [logIntent(ORDER_EVENTS.drainStarted, control, row), ...next.effects],
  };
}

function settle(
  state: ControllerState,
  control: EngineControl,
  row: IntentRow,
  outcome: 'done' | 'failed' | 'abandoned',
  authority: Authority,
): ControllerTransition {
  return write(state, control, { ...row, phase: 'settled', outcome }, authority);
}

/** Writes the intent row if neither it nor the lease's epoch has changed. */
function write(
  state: ControllerState,
  control: EngineControl,
  row: IntentRow,
  authority: Authority,
): ControllerTransition {
  const calls = state.calls + 1;
  const token = `controller/${state.settings.pool}/${calls}`;
  const key = intentKey(control.engine);
  const next = { ...control, write: { token, row } };
  return {
    state: withControl({ ...state, calls }, next),
    effects: [
      {
        kind: 'table',
        token,
        call: {
          kind: 'transact',
          checks: [
            { key, version: control.intent?.version ?? 0 },
            {
              key: epochKey(resourceOfPool(state.settings.pool)),
              version: authority.epochRowVersion,
            },
          ],
          writes: [{ key, value: row }],
        },
      },
    ],
  };
}

function hold(
  state: ControllerState,
  control: EngineControl,
  move: Extract<Move, { kind: 'hold' }>,
  authority: Authority,
): ControllerTransition {
  const fence = { epoch: authority.epoch, sequence: control.sequence + 1 };
  const orderId = `${control.engine}.${fence.epoch}.${fence.sequence}.hold`;
  const { intake, boot } = move;
  const pending: PendingSend = { kind: 'hold', orderId, fence, boot, intake };
  // From here on the engine may be open, whether or not it answers.
  const opening = intake === 'open' ? { intake: null, closedAt: null } : {};
  const next = { ...control, ...opening, sequence: fence.sequence, send: pending };
  const order = buildOrder(control, { kind: 'hold', intake }, orderId, boot, fence, false);
  return send(state, next, order, []);
}

function sendOrder(
  state: ControllerState,
  control: EngineControl,
  row: IntentRow,
  authority: Authority,
): ControllerTransition {
  const fence = { epoch: authority.epoch, sequence: control.sequence + 1 };
  const { orderId, boot } = row;
  const next: EngineControl = {
    ...control,
    sequence: fence.sequence,
    orderSequence: fence.sequence,
    progress: 'unasked',
    send: { kind: 'order', orderId, fence, boot },
  };
  const order = buildOrder(control, row.action, orderId, boot, fence, true);
  return send(state, next, order, [logIntent(ORDER_EVENTS.orderSent, control, row)]);
}

function query(
  state: ControllerState,
  control: EngineControl,
  row: IntentRow,
): ControllerTransition {
  const endpoint = endpointOf(state, control);
  if (endpoint === null) return { state, effects: [] };
  const { orderId } = row;
  return {
    state: withControl(state, { ...control, send: { kind: 'query', orderId } }),
    effects: [{ kind: 'query-order', engine: control.engine, orderId, endpoint }],
  };
}

function send(
  state: ControllerState,
  control: EngineControl,
  order: Order,
  logs: readonly ControllerOutput[],
): ControllerTransition {
  const endpoint = endpointOf(state, control);
  if (endpoint === null) return { state, effects: [] };
  return {
    state: withControl(state, control),
    effects: [...logs, { kind: 'send-order', order, endpoint }],
  };
}

function buildOrder(
  control: EngineControl,
  action: OrderAction,
  id: string,
  boot: string,
  fence: Fence,
  onlyIfIdle: boolean,
): Order {
  return { id, engine: control.engine, boot, fence, action, onlyIfIdle };
}

function endpointOf(state: ControllerState, control: EngineControl): Endpoint | null {
  const machine = state.views.get(control.engine)?.machine;
  return machine === undefined ? null : { address: machine.address, port: machine.port };
}

function logIntent(
  event: (typeof ORDER_EVENTS)[keyof typeof ORDER_EVENTS],
  control: EngineControl,
  row: IntentRow,
): ControllerOutput {
  return log(event, {
    engine: control.engine,
    order: row.orderId,
    action: describeAction(row.action),
    outcome: row.outcome,
    reason: row.reason,
  });
}

/** The state with one engine's control replaced. */
export function withControl(state: ControllerState, control: EngineControl): ControllerState {
  const engines = new Map(state.engines);
  engines.set(control.engine, control);
  return { ...state, engines };
}
