/**
 * Role planning on one daemon: every daemon tells a pool's candidates what work it had done; the one
 * that holds the pool's lease feeds the sum to the pool's planner and keeps its plan.
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

/** How often work is told and plans are thought over. */
const PLANNING_INTERVAL_MS: Milliseconds = 10_000;

/** What role planning remembers. */
export interface RolePlanning {
  /** Work told since the last evaluation, by pool; of pools that this daemon is a candidate for. */
  readonly receivedDemand: ReadonlyMap<PoolName, DemandCount>;
  /** Planners of the pools whose lease this daemon holds. */
  readonly planners: ReadonlyMap<PoolName, RolePlannerState>;
  readonly nextAt: MonotonicMs;
}

/** Nothing heard, nothing planned. */
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

/** Takes in what a daemon had done. */
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

/** Thinks over the plans of the held pools. Planners of other pools are forgotten. */
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
    const operatorRoles = askedRoles(document, engines);
    const objective = objectiveOf(document, engines);
    const evaluation = { kind: 'evaluate', engines, operatorRoles, objective } as const;
    const evaluated = stepRolePlanner(observed.state, evaluation, context);
    planners.set(pool, evaluated.state);
    effects.push(...evaluated.effects.filter((effect) => effect.kind === 'log'));
  }
  const nextAt = context.now + PLANNING_INTERVAL_MS;
  return { planning: { receivedDemand: new Map(), planners, nextAt }, effects };
}

/** The planned roles of a pool's engines. A plan for an earlier life of an engine is void. */
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

function askedRoles(
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

/** The objective of the pool's models; the more cautious one where they differ. */
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
