/**
 * Exhaustive breadth-first exploration of a finite model. Breadth-first order gives the first
 * violation found a shortest trace. States are identified by a key; states that can't behave
 * differently may share a key. See docs/decisions/model-checker.md for why not `xstate/graph`.
 */

/** A violated property. */
export interface Violation {
  /** The property's name, after the invariant that it checks. */
  readonly property: string;
  readonly detail: string;
}

/** The world after one step, and the violations that the step caused. */
export interface Outcome<World> {
  readonly world: World;
  readonly violations: readonly Violation[];
}

/** A model: its initial state, the possible steps, and the key that identifies a state. */
export interface Model<World, Step> {
  readonly name: string;
  readonly initial: World;
  /** The steps that are possible in this world. */
  steps(world: World): readonly Step[];
  /** Takes a step; null when the step has the same effect as another one offered. */
  apply(world: World, step: Step): Outcome<World> | null;
  key(world: World): string;
  describe(step: Step): string;
  /** Names of goals that the world has reached, to show that the model is not vacuous. */
  goals(world: World): readonly string[];
}

/** When an exploration stops. */
export interface Limits {
  readonly maxStates: number;
  /** Stops at the first violation of this property; null stops at the first violation of any. */
  readonly stopAt: string | null;
}

/** A violation and the steps that lead to it. */
export interface Counterexample extends Violation {
  readonly trace: readonly string[];
}

/** The result of an exploration. */
export interface Exploration {
  readonly model: string;
  readonly states: number;
  readonly transitions: number;
  /** The length in steps of the longest shortest path to any state. */
  readonly depth: number;
  /** The first violation of each property. */
  readonly violations: readonly Counterexample[];
  readonly goals: readonly string[];
  /** False when `maxStates` ended the exploration before all states were visited. */
  readonly complete: boolean;
  readonly seconds: number;
}

interface Visit {
  readonly parent: number;
  readonly step: string;
}

interface Node<World> {
  readonly world: World;
  readonly index: number;
}

/** Explores a model. `now` returns seconds and is used only to report the duration. */
export function explore<World, Step>(
  model: Model<World, Step>,
  limits: Limits,
  now: () => number,
): Exploration {
  const startedAt = now();
  const visits: Visit[] = [{ parent: -1, step: 'start' }];
  const seen = new Set<string>([model.key(model.initial)]);
  const goals = new Set<string>(model.goals(model.initial));
  const violations = new Map<string, Counterexample>();
  let frontier: Node<World>[] = [{ world: model.initial, index: 0 }];
  let transitions = 0;
  let depth = 0;
  let complete = true;

  const visit = (node: Node<World>, next: Node<World>[]): void => {
    for (const step of model.steps(node.world)) {
      const outcome = model.apply(node.world, step);
      if (outcome === null) continue;
      transitions += 1;
      for (const violation of outcome.violations) {
        if (violations.has(violation.property)) continue;
        const trace = [...traceOf(visits, node.index), model.describe(step)];
        violations.set(violation.property, { ...violation, trace });
      }
      // States after a violation are not explored.
      if (outcome.violations.length > 0) continue;
      const key = model.key(outcome.world);
      if (seen.has(key)) continue;
      seen.add(key);
      for (const goal of model.goals(outcome.world)) goals.add(goal);
      visits.push({ parent: node.index, step: model.describe(step) });
      next.push({ world: outcome.world, index: visits.length - 1 });
    }
  };

  const isOver = () => {
    if ([...violations.values()].some((violation) => endsSearch(limits, violation))) return true;
    if (seen.size < limits.maxStates) return false;
    complete = false;
    return true;
  };

  while (frontier.length > 0 && !isOver()) {
    const next: Node<World>[] = [];
    for (const node of frontier) {
      if (isOver()) break;
      visit(node, next);
    }
    if (next.length > 0) depth += 1;
    frontier = next;
  }
  return {
    model: model.name,
    states: seen.size,
    transitions,
    depth,
    violations: [...violations.values()],
    goals: [...goals].sort(),
    complete,
    seconds: now() - startedAt,
  };
}

/** Whether this violation ends the exploration. */
export function endsSearch(limits: Limits, violation: Violation): boolean {
  return limits.stopAt === null || limits.stopAt === violation.property;
}

function traceOf(visits: readonly Visit[], index: number): string[] {
  const trace: string[] = [];
  for (let at = visits[index]; at !== undefined && at.parent >= 0; at = visits[at.parent]) {
    trace.push(at.step);
  }
  return trace.reverse();
}
