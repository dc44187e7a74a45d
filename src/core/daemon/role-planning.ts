/**
 * Role planning on one daemon. Every daemon reports the demand of its answered requests to a pool's
 * candidates; the candidate that holds the pool's lease passes the sum to the pool's planner and
 * keeps the plan.
 */
import type { BackendName, PoolName } from '../common/identifiers.js';
import type { Milliseconds, MonotonicMs } from '../common/time.js';
import type { StepContext } from '../common/transition.js';
import type { ConfigurationDocument } from '../configuration/document.js';
import type { LogEffect } from '../logging/log-event.js';
import type { EngineView } from '../registry/backend.js';
import {
  initialRolePlannerState,
  type RequestedRole,
  type RoleObjective,
  type RolePlannerState,
  stepRolePlanner,
} from '../roles/index.js';
import { addDemand, type DemandCount, NO_DEMAND } from './demand-meter.js';
import type { PlannedRole } from './desired-engines.js';

/** How often demand is reported and plans are re-evaluated. */
const PLANNING_INTERVAL_MS: Milliseconds = 10_000;

export interface RolePlanning {
  /** Demand reported since the last evaluation, by pool; only of this daemon's candidate pools. */
  readonly receivedDemand: ReadonlyMap<PoolName, DemandCount>;
  /** Planners of the pools whose lease this daemon holds. */
  readonly planners: ReadonlyMap<PoolName, RolePlannerState>;
  readonly nextAt: MonotonicMs;
}

export const INITIAL_ROLE_PLANNING: RolePlanning = {
  receivedDemand: new Map(),
  planners: new Map(),
  nextAt: PLANNING_INTERVAL_MS,
};

/** A pool whose lease this daemon holds. */
export interface HeldPool {
  readonly pool: PoolName;
  readonly engines: readonly EngineView[];
}

/** Adds the demand that a daemon reported. */
export function recordDemand(
  planning: RolePlanning,
  pool: PoolName,
  count: DemandCount,
): RolePlanning {
  const known = planning.receivedDemand.get(pool) ?? NO_DEMAND;
  return {
    ...planning,
    receivedDemand: new Map(planning.receivedDemand).set(pool, addDemand(known, count)),
  };
}

/** Re-evaluates the plans of the held pools. Planners of other pools are dropped. */
export function evaluatePlans(
  planning: RolePlanning,
  held: readonly HeldPool[],
  document: ConfigurationDocument,
  context: StepContext,
): { readonly planning: RolePlanning; readonly effects: readonly LogEffect[] } {
  const planners = new Map<PoolName, RolePlannerState>();
  const effects: LogEffect[] = [];
  for (const { pool, engines } of held) {
    const before = planning.planners.get(pool) ?? initialRolePlannerState();
    const count = planning.receivedDemand.get(pool) ?? NO_DEMAND;
    const window = { kind: 'demand', windowMs: PLANNING_INTERVAL_MS, ...count } as const;
    const observed = stepRolePlanner(before, window, context);
    const operatorRoles = operatorRolesOf(document, engines);
    const objective = objectiveOf(document, engines);
    const evaluation = { kind: 'evaluate', engines, operatorRoles, objective } as const;
    const evaluated = stepRolePlanner(observed.state, evaluation, context);
    planners.set(pool, evaluated.state);
    effects.push(...evaluated.effects.filter((effect) => effect.kind === 'log'));
  }
  const nextAt = context.now + PLANNING_INTERVAL_MS;
  return { planning: { receivedDemand: new Map(), planners, nextAt }, effects };
}

/** The planned roles of a pool's engines. Plans for an earlier boot of an engine are ignored. */
export function plannedRoles(
  planning: RolePlanning,
  pool: PoolName,
  engines: readonly EngineView[],
): ReadonlyMap<BackendName, PlannedRole> {
  const planned = new Map<BackendName, PlannedRole>();
  for (const { machine, report } of engines) {
    const plan = planning.planners.get(pool)?.planned.get(machine.name);
    if (plan !== undefined && plan.boot === report?.boot) {
      planned.set(machine.name, plan);
    }
  }
  return planned;
}

function operatorRolesOf(
  document: ConfigurationDocument,
  engines: readonly EngineView[],
): readonly RequestedRole[] {
  const operatorRoles: RequestedRole[] = [];
  for (const { machine } of engines) {
    const role = document.backends[machine.name]?.role;
    if (role !== undefined) {
      operatorRoles.push({ engine: machine.name, role });
    }
  }
  return operatorRoles;
}

/** The objective of the pool's loaded models; `fewest-changes` if any of them has it. */
function objectiveOf(
  document: ConfigurationDocument,
  engines: readonly EngineView[],
): RoleObjective {
  const loaded = engines.flatMap(({ report }) => report?.models ?? []);
  const cautious = loaded.some(
    ({ model }) => document.models[model]?.objective === 'fewest-changes',
  );
  return cautious ? 'fewest-changes' : 'goodput';
}
