/**
 * Finds the role change of one engine with the highest expected gain that outweighs the lost work.
 */
import type { BackendName } from '../common/identifiers.js';
import type { EngineRole } from '../registry/backend.js';
import type { ExpectedDemand } from './demand-forecast.js';
import { countEngines, type EngineGroup, withOneFewer, withRoleChanged } from './engine-groups.js';
import { splitCapacity, type TokenMix } from './split-capacity.js';
import type { PlannerThresholds, RolePlannerSettings } from './types.js';

/** A role change with its expected effect; rates are in finished requests per second. */
export interface RoleChange {
  readonly engine: BackendName;
  readonly from: EngineRole;
  readonly to: EngineRole;
  readonly goodputBefore: number;
  readonly goodputAfter: number;
  /** Finished requests gained over the horizon, reduced by a margin for the uncertain mix. */
  readonly gain: number;
  /** Finished requests lost while the engine is out of service. */
  readonly loss: number;
}

/** The input of the search for a change. */
export interface ChangeInput {
  readonly groups: readonly EngineGroup[];
  readonly demand: ExpectedDemand;
  readonly settings: RolePlannerSettings;
  readonly thresholds: PlannerThresholds;
}

const ROLES: readonly EngineRole[] = ['prefill', 'decode', 'mixed'];
const MS_PER_SECOND = 1_000;

/** Points and weights of three-point Gauss-Hermite quadrature over a normal distribution. */
const QUADRATURE = [
  { deviations: -Math.sqrt(3), weight: 1 / 6 },
  { deviations: 0, weight: 2 / 3 },
  { deviations: Math.sqrt(3), weight: 1 / 6 },
] as const;

/** The change with the highest gain if it meets the thresholds, otherwise null. */
export function bestChange(input: ChangeInput): RoleChange | null {
  const before = goodputs(input, input.groups);
  let best: RoleChange | null = null;
  for (const group of input.groups) {
    for (const role of ROLES) {
      const change = evaluateChange(input, before, group, role);
      if (change !== null && (best === null || change.gain > best.gain)) {
        best = change;
      }
    }
  }
  return best !== null && meetsThresholds(input, best) ? best : null;
}

/** Whether the required share of engines can prefill and the same share can decode. */
function keepsRoleFloors(groups: readonly EngineGroup[], floorShare: number): boolean {
  const floor = Math.ceil(countEngines(groups) * floorShare);
  const prefillCapable = countEngines(groups, (group) => group.role !== 'decode');
  const decodeCapable = countEngines(groups, (group) => group.role !== 'prefill');
  return prefillCapable >= floor && decodeCapable >= floor;
}

function evaluateChange(
  input: ChangeInput,
  before: readonly number[],
  group: EngineGroup,
  role: EngineRole,
): RoleChange | null {
  const { groups, settings, thresholds } = input;
  if (group.movable === null || role === group.role) {
    return null;
  }
  const changed = withRoleChanged(groups, group, role);
  if (!keepsRoleFloors(changed, settings.floorShare)) {
    return null;
  }
  const after = goodputs(input, changed);
  const differences = after.map((rate, point) => rate - (before[point] ?? 0));
  const cautious = mean(differences) - thresholds.deviations * deviation(differences);
  const lostRate = mean(before) - mean(goodputs(input, withOneFewer(groups, group)));
  return {
    engine: group.movable,
    from: group.role,
    to: role,
    goodputBefore: mean(before),
    goodputAfter: mean(after),
    gain: (cautious * settings.horizonMs) / MS_PER_SECOND,
    loss: (Math.max(0, lostRate) * settings.outOfServiceMs) / MS_PER_SECOND,
  };
}

function meetsThresholds(input: ChangeInput, change: RoleChange): boolean {
  const { groups, settings, thresholds } = input;
  const ratePerEngine = change.goodputBefore / Math.max(1, countEngines(groups));
  const minRate = thresholds.minGainShareOfEngine * ratePerEngine;
  const minGain = (minRate * settings.horizonMs) / MS_PER_SECOND;
  const isGainEnough = change.gain > 0 && change.gain >= minGain;
  return isGainEnough && change.gain >= thresholds.minGainToLossRatio * change.loss;
}

/** Finished requests per second at each quadrature point of the mix, limited to the demand. */
function goodputs(input: ChangeInput, groups: readonly EngineGroup[]): number[] {
  const { demand, settings } = input;
  return QUADRATURE.map(({ deviations }) => {
    const mix = mixAt(demand, deviations);
    return Math.min(demand.requestsPerSecond, splitCapacity(groups, mix, settings.model));
  });
}

function mixAt(demand: ExpectedDemand, deviations: number): TokenMix {
  const half = (deviations * demand.mixDeviation) / 2;
  return {
    promptTokens: demand.promptTokens * Math.exp(half),
    outputTokens: demand.outputTokens * Math.exp(-half),
  };
}

function mean(values: readonly number[]): number {
  return QUADRATURE.reduce((sum, { weight }, point) => sum + weight * (values[point] ?? 0), 0);
}

function deviation(values: readonly number[]): number {
  const centre = mean(values);
  return Math.sqrt(mean(values.map((value) => (value - centre) ** 2)));
}
