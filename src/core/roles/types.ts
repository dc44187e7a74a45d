/** What the role planner of a pool is told, what it gives, and its settings. */
import type { BackendName, BootId } from '../common/identifiers.js';
import type { Milliseconds, MonotonicMs } from '../common/time.js';
import type { ModelConfiguration } from '../configuration/document.js';
import type { EngineRole, EngineView } from '../registry/backend.js';
import type { DemandForecast, DemandWindow } from './demand-forecast.js';
import type { SpeedEstimates } from './engine-speeds.js';
import type { ServingModel } from './split-capacity.js';

/** What a pool's planner works towards. */
export type RoleObjective = ModelConfiguration['objective'];

/** How bold the planner is; one set for each objective. */
export interface PlannerThresholds {
  /** A change must promise at least this share of what an engine finishes in the mean. */
  readonly minGainShareOfEngine: number;
  /** The gain over the horizon must be so many times the work lost by the change. */
  readonly minGainToLossRatio: number;
  /** Standard deviations of the gain, over the uncertain mix, that are taken off it. */
  readonly deviations: number;
  /** Evaluations in a row that must want the same change. */
  readonly evaluations: number;
  /** Changes that one shift of the mix allows, and the same as a share of the engines if more. */
  readonly changesPerShift: number;
  readonly changeSharePerShift: number;
  /** Shifts that follow each other faster than this count as one. */
  readonly shiftPauseMs: Milliseconds;
}

/** Settings of one planner. */
export interface RolePlannerSettings {
  readonly horizonMs: Milliseconds;
  /** How long an engine is away for a role change, with its drain. */
  readonly outOfServiceMs: Milliseconds;
  /** The part of the engines that must be able to read, and to write, at any time. */
  readonly floorShare: number;
  /** The part of the engines that may be on their way to another role at once; at least one may. */
  readonly maxMovingShare: number;
  readonly model: ServingModel;
  readonly thresholds: Readonly<Record<RoleObjective, PlannerThresholds>>;
}

/** The settings; docs/decisions/role-planner.md says what decided them. */
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

/** A role that an operator asked for; the planner leaves the engine alone. */
export interface RequestedRole {
  readonly engine: BackendName;
  readonly role: EngineRole;
}

/** What a planner reacts to. */
export type RolePlannerEvent =
  /** Requests that arrived, scaled to the whole fleet; one event each 10 s or so. */
  | ({ readonly kind: 'demand' } & DemandWindow)
  /** Time to think again; each 10 s or so. */
  | {
      readonly kind: 'evaluate';
      /** The engines of the pool that hold the model. */
      readonly engines: readonly EngineView[];
      readonly operatorRoles: readonly RequestedRole[];
      readonly objective: RoleObjective;
    };

/** A role that the planner wants an engine to have. */
export interface PlannedRole {
  readonly engine: BackendName;
  readonly role: EngineRole;
  /** The life of the engine that the plan is for: after a restart it is thought over again. */
  readonly boot: BootId;
  /** Why, with figures, for `explain engine`. */
  readonly reason: string;
}

/** Tells the pool's controller which roles are wanted; engines that are not named stay as they are. */
export interface RolePlanEffect {
  readonly kind: 'role-plan';
  readonly planned: readonly PlannedRole[];
}

/** A change that recent evaluations wanted. */
export interface CandidateChange {
  readonly engine: BackendName;
  readonly role: EngineRole;
  readonly evaluations: number;
}

/** The changes that a shift of demand allows; a new one is given when the mix has moved away. */
export interface Allowance {
  readonly changes: number;
  /** The logarithm of prompt over output tokens at which it was given, and when. */
  readonly mix: number;
  readonly grantedAt: MonotonicMs;
  /** Since when the mix has been a shift away from that; null while it is not. */
  readonly shiftedSince: MonotonicMs | null;
}

/** The state of one pool's planner. */
export interface RolePlannerState {
  readonly settings: RolePlannerSettings;
  readonly demand: DemandForecast | null;
  readonly speeds: SpeedEstimates;
  readonly planned: ReadonlyMap<BackendName, PlannedRole>;
  readonly candidate: CandidateChange | null;
  /** Changes that the present mix of demand still allows. */
  readonly allowance: Allowance | null;
}

/** The state of a planner that knows nothing yet. */
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
