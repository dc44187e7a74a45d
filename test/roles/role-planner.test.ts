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
const AWAY_WINDOWS = 2;

interface Mix {
  readonly windows: number;
  readonly prompt: number;
  readonly output: number;
  readonly rate: number;
  /** Spread of a window's mean tokens: standard deviation of the logarithm. */
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

/** Roles pay: prompts are handed over, and mixed engines lose to interference. */
const SPLIT_PAYS: RolePlannerSettings = {
  ...DEFAULT_ROLE_PLANNER_SETTINGS,
  model: { handOver: true, mixedEfficiency: 0.75, decodeRolePrefillEfficiency: 0.5 },
};

/** Runs a planner over phases of demand; engines take the planned role two windows later. */
function run(fleet: Fleet, phases: readonly Mix[], seed: number) {
  const random = new Random(seed);
  const { operatorRoles = [], objective = 'goodput' } = fleet;
  const settings = fleet.settings ?? SPLIT_PAYS;
  let state = initialRolePlannerState(settings);
  const roles = [...fleet.roles];
  const arriving = roles.map(() => 0);
  const changes: PlannedChange[] = [];
  let window = 0;
  for (const phase of phases) {
    for (let step = 0; step < phase.windows; step += 1, window += 1) {
      const now = window * WINDOW_MS;
      const requests = Math.round(phase.rate * 10);
      const swing = Math.exp(phase.noise * random.normal());
      const promptTokens = requests * phase.prompt * swing;
      const outputTokens = requests * phase.output * Math.exp(phase.noise * random.normal());
      const demand = { windowMs: WINDOW_MS, requests, promptTokens, outputTokens };
      state = stepRolePlanner(state, { kind: 'demand', ...demand }, { now, entropy: 0 }).state;
      const engines = roles.map((role, place) => viewOf(place, role, now));
      const event = { kind: 'evaluate', engines, operatorRoles, objective } as const;
      const transition = stepRolePlanner(state, event, { now, entropy: 0 });
      state = transition.state;
      for (const effect of transition.effects) {
        if (effect.kind === 'log') {
          const { engine, reason } = effect.fields;
          changes.push({ window, engine: String(engine), reason: String(reason) });
        }
      }
      for (const [place, role] of roles.entries()) {
        const wanted = state.planned.get(`e${place}`)?.role ?? role;
        arriving[place] = wanted === role ? 0 : (arriving[place] ?? 0) + 1;
        if ((arriving[place] ?? 0) > AWAY_WINDOWS) {
          roles[place] = wanted;
        }
      }
      checkLimits(roles, state.planned, fleet.roles.length, settings);
    }
  }
  return { changes, roles };
}

function viewOf(place: number, role: EngineRole, now: number): EngineView {
  const name = `e${place}`;
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
  const wanted = roles.map((role, place) => planned.get(`e${place}`)?.role ?? role);
  const floor = Math.ceil(size * settings.floorShare);
  assert.ok(wanted.filter((role) => role !== 'decode').length >= floor, wanted.join());
  assert.ok(wanted.filter((role) => role !== 'prefill').length >= floor, wanted.join());
  const moving = wanted.filter((role, place) => role !== roles[place]).length;
  assert.ok(moving <= Math.max(1, Math.floor(size * settings.maxMovingShare)));
}

/** Windows after which the planner has settled on the first phase. */
const SETTLED = 60;

const after = (window: number, changes: readonly PlannedChange[]) =>
  changes.filter((change) => change.window >= window);
const mixedFleet = (size: number): EngineRole[] => Array.from({ length: size }, () => 'mixed');
const DAY: Omit<Mix, 'windows'> = { prompt: 1_000, output: 100, rate: 150, noise: 0.1 };
const NIGHT: Omit<Mix, 'windows'> = { prompt: 4_000, output: 40, rate: 80, noise: 0.1 };

describe('role planner', () => {
  it('changes nothing on noise and short bursts, for either goal', () => {
    for (const objective of ['goodput', 'fewest-changes'] as const) {
      for (let seed = 1; seed <= 5; seed += 1) {
        const noisy = { ...DAY, noise: 0.5, windows: 200 };
        const burst = { ...NIGHT, windows: 4 };
        const phases = [{ ...DAY, windows: SETTLED }, noisy, burst, noisy];
        const { changes } = run({ roles: mixedFleet(13), objective }, phases, seed);
        assert.deepEqual(after(SETTLED, changes), [], `${objective} ${seed}`);
      }
    }
  });

  it('makes one or two changes for a true shift, in time, and none after', () => {
    for (let seed = 1; seed <= 5; seed += 1) {
      const phases = [
        { ...DAY, windows: SETTLED },
        { ...NIGHT, windows: 200 },
      ];
      const { changes } = run({ roles: mixedFleet(13) }, phases, seed);
      const shifted = after(SETTLED, changes);
      assert.ok(shifted.length >= 1 && shifted.length <= 2, `${shifted.length} changes`);
      assert.ok(shifted.every(({ window }) => window < SETTLED + 25));
      assert.match(shifted[0]?.reason ?? '', /to prefill: requests of \d+ prompt and \d+ output/);
    }
  });

  it('leaves a mixed fleet alone where nothing is handed over, and frees a misfit one', () => {
    const settings = DEFAULT_ROLE_PLANNER_SETTINGS;
    const shifts = [DAY, NIGHT, DAY, NIGHT].map((mix) => ({ ...mix, windows: 90 }));
    assert.deepEqual(run({ roles: mixedFleet(8), settings }, shifts, 1).changes, []);
    const misfit: EngineRole[] = ['prefill', 'prefill', 'mixed', 'mixed', 'mixed', 'decode'];
    const freed = run({ roles: misfit, settings }, [{ ...NIGHT, windows: 200 }], 1);
    assert.deepEqual(
      freed.roles.filter((role) => role === 'prefill'),
      [],
    );
  });

  it('takes no engine away while there is no more work than is finished anyway', () => {
    const idle = [DAY, NIGHT, DAY].map((mix) => ({ ...mix, rate: 5, windows: 90 }));
    assert.deepEqual(run({ roles: mixedFleet(13) }, idle, 1).changes, []);
  });

  it('changes less for fewest-changes than for goodput', () => {
    const shifts = [DAY, NIGHT, DAY, NIGHT].map((mix) => ({ ...mix, windows: 120 }));
    const count = (objective: RoleObjective) =>
      run({ roles: mixedFleet(13), objective }, shifts, 3).changes.length;
    assert.ok(count('fewest-changes') < count('goodput'));
  });

  it('leaves engines alone whose role an operator asked for', () => {
    const operatorRoles = Array.from({ length: 12 }, (_, place) => ({
      engine: `e${place}`,
      role: 'mixed' as const,
    }));
    const { changes } = run(
      { roles: mixedFleet(13), operatorRoles },
      [{ ...NIGHT, windows: 300 }],
      1,
    );
    assert.ok(changes.every(({ engine }) => engine === 'e12'));
  });

  it('keeps floors and limits, and its changes to its allowance, whatever the demand', () => {
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
        const sound: EngineRole[] = [...random, ...mixedFleet(Math.max(2, random.length))];
        const { changes } = run({ roles: sound, objective: goal }, phases, 7);
        const { changesPerShift, shiftPauseMs } = SPLIT_PAYS.thresholds[goal];
        const total = phases.reduce((sum, { windows }) => sum + windows, 0) * WINDOW_MS;
        const most = Math.max(changesPerShift, Math.floor(sound.length * 0.15));
        assert.ok(changes.length <= most * (1 + total / shiftPauseMs));
      },
    );
    fc.assert(property, { numRuns: 60, seed: 1 });
  });
});
