/**
 * The change of one engine's role that promises the most, weighed against the work lost by it.
 */
import type { BackendName } from '../common/identifiers.js';
import type { EngineRole } from '../registry/backend.js';
import type { ExpectedDemand } from './demand-forecast.js';
import { countEngines, type EngineGroup, withOneFewer, withRoleChanged } from './engine-groups.js';
import { splitCapacity, type TokenMix } from './split-capacity.js';
import type { PlannerThresholds, RolePlannerSettings } from './types.js';

/** A change with its figures; rates in finished requests a second. */
export interface RoleChange {
  readonly engine: BackendName;
  readonly from: EngineRole;
  readonly to: EngineRole;
  readonly goodputBefore: number;
  readonly goodputAfter: number;
  /** Finished requests gained over the horizon, less the deviations taken off. */
  readonly gain: number;
  /** Finished requests lost while the engine is away. */
  readonly loss: number;
}

/** What a change is sought for. */
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

/** The best change that is worth it, or null. */
export function bestChange(input: ChangeInput): RoleChange | null {
  const before = goodputs(input, input.groups);
  let best: RoleChange | null = null;
  for (const group of input.groups) {
    for (const role of ROLES) {
      const change = weigh(input, before, group, role);
      if (change !== null && (best === null || change.gain > best.gain)) {
        best = change;
      }
    }
  }
  return best !== null && isWorthIt(input, best) ? best : null;
}

/** Whether enough engines can read and enough can write. */
function keepsFloor(groups: readonly EngineGroup[], floorShare: number): boolean {
  const floor = Math.ceil(countEngines(groups) * floorShare);
  const reading = countEngines(groups, (group) => group.role !== 'decode');
  const writing = countEngines(groups, (group) => group.role !== 'prefill');
  return reading >= floor && writing >= floor;
}

function weigh(
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
  if (!keepsFloor(changed, settings.floorShare)) {
    return null;
  }
  const after = goodputs(input, changed);
  const differences = after.map((rate, point) => rate - (before[point] ?? 0));
  const cautious = mean(differences) - thresholds.deviations * deviation(differences);
  const lost = mean(before) - mean(goodputs(input, withOneFewer(groups, group)));
  return {
    engine: group.movable,
    from: group.role,
    to: role,
    goodputBefore: mean(before),
    goodputAfter: mean(after),
    gain: (cautious * settings.horizonMs) / MS_PER_SECOND,
    loss: (Math.max(0, lost) * settings.outOfServiceMs) / MS_PER_SECOND,
  };
}

function isWorthIt(input: ChangeInput, change: RoleChange): boolean {
  const { groups, settings, thresholds } = input;
  const ofOneEngine = change.goodputBefore / Math.max(1, countEngines(groups));
  const leastRate = thresholds.minGainShareOfEngine * ofOneEngine;
  const leastGain = (leastRate * settings.horizonMs) / MS_PER_SECOND;
  const enough = change.gain > 0 && change.gain >= leastGain;
  return enough && change.gain >= thresholds.minGainToLossRatio * change.loss;
}

/** Finished requests a second at each point of the uncertain mix: no more than are asked for. */
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
