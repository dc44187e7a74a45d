/**
 * Engines that are alike to the planner: of one accelerator and in one role. Plans are weighed over
 * groups, so that their cost does not grow with the fleet.
 */
import type { BackendName } from '../common/identifiers.js';
import type { EngineRole } from '../registry/backend.js';
import type { EngineSpeed } from './engine-speeds.js';

/** An engine as the planner sees it. */
export interface PlannedEngine {
  readonly name: BackendName;
  readonly accelerator: string;
  readonly role: EngineRole;
  /** False for an engine whose role an operator asked for, or that is away. */
  readonly movable: boolean;
}

/** Engines of one accelerator in one role. */
export interface EngineGroup {
  readonly accelerator: string;
  readonly role: EngineRole;
  readonly speed: EngineSpeed;
  readonly count: number;
  /** One that may be moved, or null. */
  readonly movable: BackendName | null;
}

/** Groups engines. Those of an accelerator without speeds are left out. */
export function groupEngines(
  engines: readonly PlannedEngine[],
  speeds: ReadonlyMap<string, EngineSpeed>,
): EngineGroup[] {
  const groups = new Map<string, EngineGroup>();
  for (const engine of engines) {
    const { accelerator, role } = engine;
    const speed = speeds.get(accelerator);
    if (speed === undefined) {
      continue;
    }
    const key = `${accelerator}\n${role}`;
    const known = groups.get(key) ?? { accelerator, role, speed, count: 0, movable: null };
    const movable = known.movable ?? (engine.movable ? engine.name : null);
    groups.set(key, { ...known, count: known.count + 1, movable });
  }
  return [...groups.values()];
}

/** The groups with one engine fewer in `group`. */
export function withOneFewer(groups: readonly EngineGroup[], group: EngineGroup): EngineGroup[] {
  return groups.map((other) => (other === group ? { ...other, count: other.count - 1 } : other));
}

/** The groups with one engine of `group` in another role. */
export function withRoleChanged(
  groups: readonly EngineGroup[],
  group: EngineGroup,
  role: EngineRole,
): EngineGroup[] {
  return [...withOneFewer(groups, group), { ...group, role, count: 1, movable: null }];
}

/** How many engines are in the groups that `belongs` names. */
export function countEngines(
  groups: readonly EngineGroup[],
  belongs: (group: EngineGroup) => boolean = () => true,
): number {
  return groups.reduce((sum, group) => sum + (belongs(group) ? group.count : 0), 0);
}
