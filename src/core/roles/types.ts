/** The events, effects, state and settings of a pool's role planner. */
import type { BackendName, BootId } from '../common/identifiers.js';
import type { Milliseconds, MonotonicMs } from '../common/time.js';
import type { ModelConfiguration } from '../configuration/document.js';
import type { EngineRole, EngineView } from '../registry/backend.js';
import type { DemandForecast, DemandWindow } from './demand-forecast.js';
import type { SpeedEstimates } from './engine-speeds.js';
import type { ServingModel } from './split-capacity.js';

/** The objective of a pool's planner. */
export type RoleObjective = ModelConfiguration['objective'];

/** The thresholds that a change must meet; one set for each objective. */
export interface PlannerThresholds {
  /** The minimum gain, as a share of the mean number of requests that one engine finishes. */
  readonly minGainShareOfEngine: number;
  /** The minimum ratio of the gain over the horizon to the work lost by the change. */
  readonly minGainToLossRatio: number;
  /** The number of standard deviations, over the uncertain mix, subtracted from the mean gain. */
  readonly deviations: number;
  /** The number of consecutive evaluations that must propose a change to the same role. */
  readonly evaluations: number;
  /** The changes allowed per shift of the mix: the larger of this number and a share of engines. */
  readonly changesPerShift: number;
  readonly changeSharePerShift: number;
  /** Shifts that follow each other within this time count as one. */
  readonly shiftPauseMs: Milliseconds;
}

/** Settings of one planner. */
export interface RolePlannerSettings {
  readonly horizonMs: Milliseconds;
  /** How long an engine is out of service for a role change, including its drain. */
  readonly outOfServiceMs: Milliseconds;
  /** The minimum share of engines that can prefill, and of engines that can decode, at any time. */
  readonly floorShare: number;
  /** The maximum share of engines that may change role at once; at least one engine may. */
  readonly maxMovingShare: number;
  readonly model: ServingModel;
  readonly thresholds: Readonly<Record<RoleObjective, PlannerThresholds>>;
}

/** The default settings; docs/decisions/role-planner.md gives the reasons for the values. */
export const DEFAULT_ROLE_PLANNER_SETTINGS: RolePlannerSettings = {
  horizonMs: 300_000,
  outOfServiceMs: 15_000,
  floorShare: 0.25,
  maxMovingShare: 0.25,
  model: { handOver: false, mixedEfficiency: 1, decodeRolePrefillEfficiency: 0.5 },
  thresholds: {
    goodput: {
      minGainShareOfEngine: 0.2,
      minGainToLossRatio: 2,
      deviations: 0.5,
      evaluations: 3,
      changesPerShift: 2,
      changeSharePerShift: 0.15,
      shiftPauseMs: 300_000,
    },
    'fewest-changes': {
      minGainShareOfEngine: 0.5,
      minGainToLossRatio: 4,
      deviations: 1,
      evaluations: 6,
      changesPerShift: 1,
      changeSharePerShift: 0.08,
      shiftPauseMs: 900_000,
    },
  },
};

/** A role that an operator has set; the planner does not change this engine's role. */
export interface RequestedRole {
  readonly engine: BackendName;
  readonly role: EngineRole;
}

/** The events of a planner. */
export type RolePlannerEvent =
  /** Requests that arrived, scaled to the complete fleet; one event about every 10 s. */
  | ({ readonly kind: 'demand' } & DemandWindow)
  /** Evaluates whether a role should change; about every 10 s. */
  | {
      readonly kind: 'evaluate';
      /** The engines of the pool that hold the model. */
      readonly engines: readonly EngineView[];
      readonly operatorRoles: readonly RequestedRole[];
      readonly objective: RoleObjective;
    };

/** A role planned for an engine. */
export interface PlannedRole {
  readonly engine: BackendName;
  readonly role: EngineRole;
  /** The engine boot that the plan is for; a restart of the engine invalidates the plan. */
  readonly boot: BootId;
  /** The reason with figures, shown by `explain engine`. */
  readonly reason: string;
}

/** The planned roles for the pool's controller; engines that are not listed keep their roles. */
export interface RolePlanEffect {
  readonly kind: 'role-plan';
  readonly planned: readonly PlannedRole[];
}

/** A change proposed by recent evaluations. */
export interface CandidateChange {
  readonly engine: BackendName;
  readonly role: EngineRole;
  readonly evaluations: number;
}

/** The changes that a shift of demand allows; renewed when the mix has shifted again. */
export interface Allowance {
  readonly changes: number;
  /** The logarithm of prompt to output tokens from which a shift is measured. */
  readonly mix: number;
  /** When the allowance was granted. */
  readonly grantedAt: MonotonicMs;
  /** Since when the mix differs from `mix` by at least a shift; null while it does not. */
  readonly shiftedSince: MonotonicMs | null;
}

/** The state of one pool's planner. */
export interface RolePlannerState {
  readonly settings: RolePlannerSettings;
  readonly demand: DemandForecast | null;
  readonly speeds: SpeedEstimates;
  readonly planned: ReadonlyMap<BackendName, PlannedRole>;
  readonly candidate: CandidateChange | null;
  /** The changes that the current mix of demand still allows; null before the first evaluation. */
  readonly allowance: Allowance | null;
}

/** The initial state of a planner. */
export function initialRolePlannerState(
  settings: RolePlannerSettings = DEFAULT_ROLE_PLANNER_SETTINGS,
): RolePlannerState {
  return {
    settings,
    demand: null,
    speeds: new Map(),
    planned: new Map(),
    candidate: null,
    allowance: null,
  };
}
