/**
 * The reducer of a pool's controller. Every event is first taken into the state; then, while the
 * authority is in force, each engine without anything in flight gets its next move.
 */
import type { BackendName } from '../common/identifiers.js';
import type { StepContext, Transition } from '../common/transition.js';
import { type Authority, isInForce } from '../lease/index.js';
import { intentKey } from '../orders/index.js';
import { decide, type Move, WAIT } from './decide.js';
import { receiveOrderAnswer, receiveOrderState } from './engine-answers.js';
import { executeMove } from './moves.js';
import { computePoolAvailability, type PoolAvailability } from './pool-availability.js';
import { type ControllerState, initialEngineControl } from './state.js';
import { receiveTableResult } from './table-results.js';
import type { ControllerEvent, ControllerOutput } from './types.js';

/** The most rows that one read of the table service may ask for. */
const MOST_ROWS_A_READ = 100;

type ControllerTransition = Transition<ControllerState, ControllerOutput>;

/** One step of a pool's controller. */
export function stepController(
  state: ControllerState,
  event: ControllerEvent,
  context: StepContext,
): ControllerTransition {
  const taken = takeIn(state, event, context);
  const acted = act(taken.state, context);
  return { state: acted.state, effects: [...taken.effects, ...acted.effects] };
}

function takeIn(
  state: ControllerState,
  event: ControllerEvent,
  context: StepContext,
): ControllerTransition {
  switch (event.kind) {
    case 'tick':
      return { state: takeInputs(state, event), effects: [] };
    case 'table-result':
      return receiveTableResult(state, event, context);
    case 'order-answer':
      return receiveOrderAnswer(state, event, context);
    case 'order-state':
      return receiveOrderState(state, event, context);
  }
}

function takeInputs(
  state: ControllerState,
  event: Extract<ControllerEvent, { kind: 'tick' }>,
): ControllerState {
  const isOver = event.authority !== null && event.authority.epoch <= state.deposedEpoch;
  const authority = isOver ? null : event.authority;
  const epochChanged = authority !== null && authority.epoch !== state.authority?.epoch;
  const base = epochChanged ? underNewEpoch(state) : state;
  const engines = new Map(base.engines);
  for (const { machine } of event.engines) {
    if (!engines.has(machine.name)) engines.set(machine.name, initialEngineControl(machine.name));
  }
  return {
    ...base,
    // The last authority is kept, lapsed, so that its epoch's state is known when it resumes.
    authority: authority ?? lapsed(state.authority),
    views: new Map(event.engines.map((view) => [view.machine.name, view])),
    desired: new Map(event.desired.map((desired) => [desired.engine, desired])),
    engines,
  };
}

/** Nothing learnt under an earlier epoch is trusted: all rows are read again. */
function underNewEpoch(state: ControllerState): ControllerState {
  return { ...state, engines: new Map(), read: null, intents: 0 };
}

function lapsed(authority: Authority | null): Authority | null {
  return authority === null ? null : { ...authority, until: Number.NEGATIVE_INFINITY };
}

function act(state: ControllerState, context: StepContext): ControllerTransition {
  const authority = state.authority;
  const mayAct = isInForce(authority, context.now) && authority.epoch > state.deposedEpoch;
  if (!mayAct) return { state, effects: [] };
  const read = readUnread(state, context);
  const effects: ControllerOutput[] = [...read.effects];
  let next = read.state;
  let availability = computePoolAvailability(next, context.now);
  for (const engine of state.views.keys()) {
    const move = moveFor(next, availability, engine, context);
    const control = next.engines.get(engine);
    if (move.kind === 'wait' || control === undefined) continue;
    const moved = executeMove(next, control, move, authority);
    next = moved.state;
    effects.push(...moved.effects);
    if (move.kind === 'begin') availability = computePoolAvailability(next, context.now);
  }
  return { state: next, effects };
}

/** Reads the intent rows that are not known, all in one call. */
function readUnread(state: ControllerState, context: StepContext): ControllerTransition {
  if (state.read !== null || context.now < state.tableRetryAt) return { state, effects: [] };
  const engines = [...state.engines.values()]
    .filter((control) => control.intent === null && control.write === null)
    .map((control) => control.engine)
    .slice(0, MOST_ROWS_A_READ);
  if (engines.length === 0) return { state, effects: [] };
  const calls = state.calls + 1;
  const token = `controller/${state.settings.pool}/${calls}`;
  return {
    state: { ...state, calls, read: { token, engines } },
    effects: [{ kind: 'table', token, call: { kind: 'get', keys: engines.map(intentKey) } }],
  };
}

/** The next move for an engine; none while something of it is in flight. */
function moveFor(
  state: ControllerState,
  availability: PoolAvailability,
  engine: BackendName,
  context: StepContext,
): Move {
  const control = state.engines.get(engine);
  if (control === undefined || control.write !== null || control.send !== null) return WAIT;
  const move = decide(state, availability, control, context.now);
  const isWrite = move.kind === 'begin' || move.kind === 'mark-ordered' || move.kind === 'settle';
  return isWrite && context.now < state.tableRetryAt ? WAIT : move;
}
