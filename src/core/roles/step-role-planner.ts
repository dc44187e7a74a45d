/**
 * The role planner of a pool: decides when an engine should change its role as the balance between
 * prefill and decode work shifts. Engines in role `mixed` absorb short fluctuations. A change is
 * planned only if its expected gain over the horizon outweighs the work it costs, if several
 * consecutive evaluations proposed it, and if it keeps the floors and limits.
 */
import type { BackendName } from '../common/identifiers.js';
import type { Milliseconds, MonotonicMs } from '../common/time.js';
import type { StepContext, Transition } from '../common/transition.js';
import { unchanged } from '../common/transition.js';
import { ROLE_EVENTS } from '../logging/catalogue/roles.js';
import { type LogEffect, log } from '../logging/log-event.js';
import type { EngineView } from '../registry/backend.js';
import { bestChange, type RoleChange } from './best-change.js';
import { type ExpectedDemand, expectDemand, observeDemand } from './demand-forecast.js';
import { groupEngines, type PlannedEngine } from './engine-groups.js';
import { speedsByAccelerator, updateSpeedEstimates } from './engine-speeds.js';
import type {
  Allowance,
  PlannedRole,
  PlannerThresholds,
  RolePlanEffect,
  RolePlannerEvent,
  RolePlannerState,
} from './types.js';

/** The minimum shift of the logarithm of prompt to output tokens: a factor of two. */
const MIN_MIX_SHIFT = Math.log(2);
/** The minimum shift in standard deviations of a single observation, where that is larger. */
const MIN_SHIFT_DEVIATIONS = 1.5;
/** How long the mix must stay shifted by that much. */
const MIN_SHIFT_DURATION_MS: Milliseconds = 90_000;

type Evaluation = Extract<RolePlannerEvent, { kind: 'evaluate' }>;
type RoleTransition = Transition<RolePlannerState, RolePlanEffect | LogEffect>;

/** One step of a pool's role planner. */
export function stepRolePlanner(
  state: RolePlannerState,
  event: RolePlannerEvent,
  context: StepContext,
): RoleTransition {
  switch (event.kind) {
    case 'demand':
      return unchanged({ ...state, demand: observeDemand(state.demand, event) });
    case 'evaluate':
      return evaluate(state, event, context.now);
  }
}

function evaluate(before: RolePlannerState, event: Evaluation, now: MonotonicMs): RoleTransition {
  const thresholds = before.settings.thresholds[event.objective];
  const refreshed = refreshState(before, event);
  const plan =
    refreshed.planned.size === before.planned.size ? [] : [planEffect(refreshed.planned)];
  const demand = expectDemand(refreshed.demand);
  const engines = plannedEngines(refreshed, event);
  if (demand === null || isAtMovingLimit(refreshed, engines, event)) {
    return { state: refreshed, effects: plan };
  }
  const state = updateAllowance(refreshed, { thresholds, demand, engines: engines.length, now });
  const groups = groupEngines(engines, speedsByAccelerator(state.speeds, event.engines));
  const change = bestChange({ groups, demand, settings: state.settings, thresholds });
  if (change === null) {
    return { state: { ...state, candidate: null }, effects: plan };
  }
  return considerChange(state, { change, demand, thresholds, event, plan });
}

/**
 * Updates speed estimates, and drops plans for engines that were removed or restarted or whose role
 * an operator has set.
 */
function refreshState(state: RolePlannerState, event: Evaluation): RolePlannerState {
  const planned = new Map<BackendName, PlannedRole>();
  for (const view of event.engines) {
    const plan = state.planned.get(view.machine.name);
    if (
      plan !== undefined &&
      plan.boot === view.report?.boot &&
      !isRoleRequested(event, plan.engine)
    ) {
      planned.set(plan.engine, plan);
    }
  }
  return { ...state, planned, speeds: updateSpeedEstimates(state.speeds, event.engines) };
}

interface AllowanceInput {
  readonly thresholds: PlannerThresholds;
  readonly demand: ExpectedDemand;
  readonly engines: number;
  readonly now: MonotonicMs;
}

/**
 * Grants a new allowance at the start and after each shift of the mix. Changes of the mix within
 * `shiftPauseMs` after a grant are treated as part of the same shift.
 */
function updateAllowance(state: RolePlannerState, input: AllowanceInput): RolePlannerState {
  const { thresholds, demand, engines, now } = input;
  const { allowance } = state;
  const mix = Math.log(demand.promptTokens / demand.outputTokens);
  const byFleetSize = Math.floor(engines * thresholds.changeSharePerShift);
  const changes = Math.max(thresholds.changesPerShift, byFleetSize);
  const fresh: Allowance = { changes, mix, grantedAt: now, shiftedSince: null };
  if (allowance === null) {
    return { ...state, allowance: fresh };
  }
  if (now - allowance.grantedAt < thresholds.shiftPauseMs) {
    return { ...state, allowance: { ...allowance, mix } };
  }
  const shift = Math.max(MIN_MIX_SHIFT, MIN_SHIFT_DEVIATIONS * demand.mixDeviation);
  if (Math.abs(mix - allowance.mix) < shift) {
    return { ...state, allowance: { ...allowance, shiftedSince: null } };
  }
  const shiftedSince = allowance.shiftedSince ?? now;
  const isLasting = now - shiftedSince >= MIN_SHIFT_DURATION_MS;
  return { ...state, allowance: isLasting ? fresh : { ...allowance, shiftedSince } };
}

/** The serving engines with the roles that they have or are changing to. */
function plannedEngines(state: RolePlannerState, event: Evaluation): PlannedEngine[] {
  const engines: PlannedEngine[] = [];
  for (const view of event.engines) {
    const { report, machine } = view;
    if (report === null || report.leaving || machine.state !== 'live') {
      continue;
    }
    engines.push({
      name: machine.name,
      accelerator: machine.accelerator,
      role: targetRole(state, event, view),
      movable: !isRoleRequested(event, machine.name) && !report.busy && report.intake === 'open',
    });
  }
  return engines;
}

function targetRole(
  state: RolePlannerState,
  event: Evaluation,
  view: EngineView,
): PlannedEngine['role'] {
  const fixed = event.operatorRoles.find((request) => request.engine === view.machine.name);
  return fixed?.role ?? state.planned.get(view.machine.name)?.role ?? view.report?.role ?? 'mixed';
}

/** Whether the maximum number of engines is already changing role. */
function isAtMovingLimit(
  state: RolePlannerState,
  engines: readonly PlannedEngine[],
  event: Evaluation,
): boolean {
  const roles = new Map(engines.map((engine) => [engine.name, engine.role]));
  const moving = event.engines.filter(({ machine, report }) => {
    const role = roles.get(machine.name);
    return role !== undefined && report !== null && (report.busy || report.role !== role);
  });
  const maxMoving = Math.max(1, Math.floor(engines.length * state.settings.maxMovingShare));
  return moving.length >= maxMoving;
}

interface ChangeProposal {
  readonly change: RoleChange;
  readonly demand: ExpectedDemand;
  readonly thresholds: PlannerThresholds;
  readonly event: Evaluation;
  readonly plan: readonly RolePlanEffect[];
}

/** Plans the change once enough consecutive evaluations proposed a change to the same role. */
function considerChange(state: RolePlannerState, proposal: ChangeProposal): RoleTransition {
  const { change, thresholds, plan } = proposal;
  const repeats = state.candidate?.role === change.to ? state.candidate.evaluations + 1 : 1;
  const wanted = { engine: change.engine, role: change.to, evaluations: repeats };
  if (repeats < thresholds.evaluations || !isAllowed(state, change)) {
    return { state: { ...state, candidate: wanted }, effects: plan };
  }
  return planChange(state, proposal);
}

/**
 * Without hand-over only role `mixed` is efficient for complete requests, so a change to it is
 * always beneficial and needs no allowance.
 */
function isAllowed(state: RolePlannerState, change: RoleChange): boolean {
  return needsNoAllowance(state, change) || (state.allowance?.changes ?? 0) >= 1;
}

function needsNoAllowance(state: RolePlannerState, change: RoleChange): boolean {
  return change.to === 'mixed' && !state.settings.model.handOver;
}

function planChange(
  state: RolePlannerState,
  { change, demand, event }: ChangeProposal,
): RoleTransition {
  const view = event.engines.find((candidate) => candidate.machine.name === change.engine);
  const boot = view?.report?.boot;
  if (boot === undefined) {
    return unchanged(state);
  }
  const role: PlannedRole = {
    engine: change.engine,
    role: change.to,
    boot,
    reason: reasonText(change, demand, state),
  };
  const planned = new Map(state.planned).set(change.engine, role);
  const fields = { engine: change.engine, from: change.from, to: change.to, reason: role.reason };
  const used = needsNoAllowance(state, change) ? 0 : 1;
  const allowance =
    state.allowance === null
      ? null
      : { ...state.allowance, changes: state.allowance.changes - used };
  return {
    state: { ...state, planned, candidate: null, allowance },
    effects: [planEffect(planned), log(ROLE_EVENTS.changePlanned, fields)],
  };
}

function planEffect(planned: ReadonlyMap<BackendName, PlannedRole>): RolePlanEffect {
  return { kind: 'role-plan', planned: [...planned.values()] };
}

function reasonText(change: RoleChange, demand: ExpectedDemand, state: RolePlannerState): string {
  const { horizonMs } = state.settings;
  const prompt = Math.round(demand.promptTokens);
  const output = Math.round(demand.outputTokens);
  const spread = Math.round(100 * (Math.exp(demand.mixDeviation) - 1));
  return (
    `${change.from} to ${change.to}: requests of ${prompt} prompt and ${output} output tokens ` +
    `(ratio +-${spread}%) at ${demand.requestsPerSecond.toFixed(1)}/s; finished ` +
    `${change.goodputBefore.toFixed(1)}/s before, ${change.goodputAfter.toFixed(1)}/s after; over ` +
    `${horizonMs / 1_000} s at least ${Math.round(change.gain)} gained for ` +
    `${Math.round(change.loss)} lost while away`
  );
}

function isRoleRequested(event: Evaluation, engine: BackendName): boolean {
  return event.operatorRoles.some((request) => request.engine === engine);
}
