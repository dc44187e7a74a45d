import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import type { EngineRole, EngineView } from '../../src/core/registry/backend.js';
import {
  DEFAULT_ROLE_PLANNER_SETTINGS,
  initialRolePlannerState,
  type RequestedRole,
  type RoleObjective,
  type RolePlannerSettings,
  stepRolePlanner,
} from '../../src/core/roles/index.js';
import { Random } from '../../src/lab/workload/random.js';
import { machine, report } from '../routing/fixtures.js';

const WINDOW_MS = 10_000;
const ROLE_CHANGE_WINDOWS = 2;

interface Mix {
  readonly windows: number;
  readonly prompt: number;
  readonly output: number;
  readonly rate: number;
  /** The standard deviation of the logarithm of a window's mean tokens. */
  readonly noise: number;
}

interface Fleet {
  readonly roles: EngineRole[];
  readonly objective?: RoleObjective;
  readonly operatorRoles?: readonly RequestedRole[];
  readonly settings?: RolePlannerSettings;
}

interface PlannedChange {
  readonly window: number;
  readonly engine: string;
  readonly reason: string;
}

/** Separate roles are efficient: prompts are handed over, and mixed engines lose speed. */
const SPLIT_ROLE_SETTINGS: RolePlannerSettings = {
  ...DEFAULT_ROLE_PLANNER_SETTINGS,
  model: { handOver: true, mixedEfficiency: 0.75, decodeRolePrefillEfficiency: 0.5 },
};

/** Runs a planner over phases of demand; engines reach a planned role after two more windows. */
function run(fleet: Fleet, phases: readonly Mix[], seed: number) {
  const random = new Random(seed);
  const { operatorRoles = [], objective = 'goodput' } = fleet;
  const settings = fleet.settings ?? SPLIT_ROLE_SETTINGS;
  let state = initialRolePlannerState(settings);
  const roles = [...fleet.roles];
  const pendingWindows = roles.map(() => 0);
  const changes: PlannedChange[] = [];
  let window = 0;
  for (const phase of phases) {
    for (let step = 0; step < phase.windows; step += 1, window += 1) {
      const now = window * WINDOW_MS;
      const requests = Math.round(phase.rate * 10);
      const promptNoise = Math.exp(phase.noise * random.normal());
      const promptTokens = requests * phase.prompt * promptNoise;
      const outputTokens = requests * phase.output * Math.exp(phase.noise * random.normal());
      const demand = { windowMs: WINDOW_MS, requests, promptTokens, outputTokens };
      state = stepRolePlanner(state, { kind: 'demand', ...demand }, { now, entropy: 0 }).state;
      const engines = roles.map((role, index) => viewOf(index, role, now));
      const event = { kind: 'evaluate', engines, operatorRoles, objective } as const;
      const transition = stepRolePlanner(state, event, { now, entropy: 0 });
      state = transition.state;
      for (const effect of transition.effects) {
        if (effect.kind === 'log') {
          const { engine, reason } = effect.fields;
          changes.push({ window, engine: String(engine), reason: String(reason) });
        }
      }
      for (const [index, role] of roles.entries()) {
        const wanted = state.planned.get(`e${index}`)?.role ?? role;
        pendingWindows[index] = wanted === role ? 0 : (pendingWindows[index] ?? 0) + 1;
        if ((pendingWindows[index] ?? 0) > ROLE_CHANGE_WINDOWS) {
          roles[index] = wanted;
        }
      }
      checkLimits(roles, state.planned, fleet.roles.length, settings);
    }
  }
  return { changes, roles };
}

function viewOf(index: number, role: EngineRole, now: number): EngineView {
  const name = `e${index}`;
  const stated = report(name, { role, maxBatch: 64 });
  return {
    machine: machine(name),
    report: {
      ...stated,
      load: { ...stated.load, prefillTokensPerSecond: 20_000, decodeStepMs: 10 },
    },
    reportedAt: now,
    grantedUntil: now + 2_000,
    watcher: null,
  };
}

function checkLimits(
  roles: readonly EngineRole[],
  planned: ReadonlyMap<string, { role: EngineRole }>,
  size: number,
  settings: RolePlannerSettings,
): void {
  const wanted = roles.map((role, index) => planned.get(`e${index}`)?.role ?? role);
  const floor = Math.ceil(size * settings.floorShare);
  assert.ok(wanted.filter((role) => role !== 'decode').length >= floor, wanted.join());
  assert.ok(wanted.filter((role) => role !== 'prefill').length >= floor, wanted.join());
  const moving = wanted.filter((role, index) => role !== roles[index]).length;
  assert.ok(moving <= Math.max(1, Math.floor(size * settings.maxMovingShare)));
}

/** Windows after which the planner has adapted to the first phase. */
const WARM_UP_WINDOWS = 60;

const after = (window: number, changes: readonly PlannedChange[]) =>
  changes.filter((change) => change.window >= window);
const mixedFleet = (size: number): EngineRole[] => Array.from({ length: size }, () => 'mixed');
const DAY: Omit<Mix, 'windows'> = { prompt: 1_000, output: 100, rate: 150, noise: 0.1 };
const NIGHT: Omit<Mix, 'windows'> = { prompt: 4_000, output: 40, rate: 80, noise: 0.1 };

describe('role planner', () => {
  it('plans no change on noise and short bursts, for either objective', () => {
    for (const objective of ['goodput', 'fewest-changes'] as const) {
      for (let seed = 1; seed <= 5; seed += 1) {
        const noisy = { ...DAY, noise: 0.5, windows: 200 };
        const burst = { ...NIGHT, windows: 4 };
        const phases = [{ ...DAY, windows: WARM_UP_WINDOWS }, noisy, burst, noisy];
        const { changes } = run({ roles: mixedFleet(13), objective }, phases, seed);
        assert.deepEqual(after(WARM_UP_WINDOWS, changes), [], `${objective} ${seed}`);
      }
    }
  });

  it('plans one or two changes within 25 windows after a lasting shift of demand, and none later', () => {
    for (let seed = 1; seed <= 5; seed += 1) {
      const phases = [
        { ...DAY, windows: WARM_UP_WINDOWS },
        { ...NIGHT, windows: 200 },
      ];
      const { changes } = run({ roles: mixedFleet(13) }, phases, seed);
      const shifted = after(WARM_UP_WINDOWS, changes);
      assert.ok(shifted.length >= 1 && shifted.length <= 2, `${shifted.length} changes`);
      assert.ok(shifted.every(({ window }) => window < WARM_UP_WINDOWS + 25));
      assert.match(shifted[0]?.reason ?? '', /to prefill: requests of \d+ prompt and \d+ output/);
    }
  });

  it('without hand-over plans no change in a mixed fleet, and changes all prefill engines', () => {
    const settings = DEFAULT_ROLE_PLANNER_SETTINGS;
    const shifts = [DAY, NIGHT, DAY, NIGHT].map((mix) => ({ ...mix, windows: 90 }));
    assert.deepEqual(run({ roles: mixedFleet(8), settings }, shifts, 1).changes, []);
    const unbalanced: EngineRole[] = ['prefill', 'prefill', 'mixed', 'mixed', 'mixed', 'decode'];
    const freed = run({ roles: unbalanced, settings }, [{ ...NIGHT, windows: 200 }], 1);
    assert.deepEqual(
      freed.roles.filter((role) => role === 'prefill'),
      [],
    );
  });

  it('plans no change while the demand is below the capacity', () => {
    const idle = [DAY, NIGHT, DAY].map((mix) => ({ ...mix, rate: 5, windows: 90 }));
    assert.deepEqual(run({ roles: mixedFleet(13) }, idle, 1).changes, []);
  });

  it('plans fewer changes for the objective fewest-changes than for goodput', () => {
    const shifts = [DAY, NIGHT, DAY, NIGHT].map((mix) => ({ ...mix, windows: 120 }));
    const count = (objective: RoleObjective) =>
      run({ roles: mixedFleet(13), objective }, shifts, 3).changes.length;
    assert.ok(count('fewest-changes') < count('goodput'));
  });

  it('plans no change for engines whose role an operator has set', () => {
    const operatorRoles = Array.from({ length: 12 }, (_, index) => ({
      engine: `e${index}`,
      role: 'mixed' as const,
    }));
    const { changes } = run(
      { roles: mixedFleet(13), operatorRoles },
      [{ ...NIGHT, windows: 300 }],
      1,
    );
    assert.ok(changes.every(({ engine }) => engine === 'e12'));
  });

  it('keeps the floors, the limits and the change allowance under random demand', () => {
    const role = fc.constantFrom<EngineRole>('prefill', 'decode', 'mixed');
    const phase = fc.record({
      windows: fc.integer({ min: 1, max: 40 }),
      prompt: fc.integer({ min: 1, max: 20_000 }),
      output: fc.integer({ min: 1, max: 4_000 }),
      rate: fc.integer({ min: 0, max: 400 }),
      noise: fc.double({ min: 0, max: 2, noNaN: true }),
    });
    const objective = fc.constantFrom<RoleObjective>('goodput', 'fewest-changes');
    const roles = fc.array(role, { minLength: 0, maxLength: 9 });
    const property = fc.property(
      roles,
      fc.array(phase, { minLength: 1, maxLength: 6 }),
      objective,
      (random, phases, goal) => {
        const fleetRoles: EngineRole[] = [...random, ...mixedFleet(Math.max(2, random.length))];
        const { changes } = run({ roles: fleetRoles, objective: goal }, phases, 7);
        const { changesPerShift, shiftPauseMs } = SPLIT_ROLE_SETTINGS.thresholds[goal];
        const total = phases.reduce((sum, { windows }) => sum + windows, 0) * WINDOW_MS;
        const maxPerShift = Math.max(changesPerShift, Math.floor(fleetRoles.length * 0.15));
        assert.ok(changes.length <= maxPerShift * (1 + total / shiftPauseMs));
      },
    );
    fc.assert(property, { numRuns: 60, seed: 1 });
  });
});
