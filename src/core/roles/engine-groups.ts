/**
 * Groups of engines with the same accelerator and role, which the planner treats as identical.
 * Plans are evaluated per group, so that the cost does not grow with the fleet.
 */
import type { BackendName } from '../common/identifiers.js';
import type { EngineRole } from '../registry/backend.js';
import type { EngineSpeed } from './engine-speeds.js';

/** The planner's view of an engine. */
export interface PlannedEngine {
  readonly name: BackendName;
  readonly accelerator: string;
  readonly role: EngineRole;
  /** False for an engine whose role an operator has set, or that is out of service. */
  readonly movable: boolean;
}

/** Engines with the same accelerator and role. */
export interface EngineGroup {
  readonly accelerator: string;
  readonly role: EngineRole;
  readonly speed: EngineSpeed;
  readonly count: number;
  /** An engine of the group whose role may be changed, or null. */
  readonly movable: BackendName | null;
}

/** Groups engines. Engines whose accelerator has no known speed are left out. */
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

/** The groups with one engine of `group` moved to `role`. */
export function withRoleChanged(
  groups: readonly EngineGroup[],
  group: EngineGroup,
  role: EngineRole,
): EngineGroup[] {
  return [...withOneFewer(groups, group), { ...group, role, count: 1, movable: null }];
}

/** The number of engines in the groups that match `predicate`. */
export function countEngines(
  groups: readonly EngineGroup[],
  predicate: (group: EngineGroup) => boolean = () => true,
): number {
  return groups.reduce((sum, group) => sum + (predicate(group) ? group.count : 0), 0);
}
