/** Runs random schedules and reports broken promises, with the seed and paths that replay them. */
import fc from 'fast-check';
import type { Violation } from '../src/lab/simulation/index.js';
import { ACTIONS } from './commands.js';
import { FuzzWorld } from './world.js';

const MAX_ACTIONS = 30;

/** The options of a campaign. */
export interface CampaignOptions {
  readonly seed: number;
  readonly schedules: number;
  /** Stops after this time; null for no limit. */
  readonly timeLimitMs: number | null;
  /** With `replayPath`, replays one failing case: fast-check's paths of the case and of its commands. */
  readonly path?: string;
  readonly replayPath?: string;
}

/** A failing schedule, shrunk as far as the time limit allowed. */
export interface FailingCase {
  readonly violations: readonly Violation[];
  readonly actions: readonly string[];
  readonly seed: number;
  readonly path: string;
  readonly replayPath: string;
}

/** The result of a campaign. */
export interface CampaignResult {
  readonly schedules: number;
  /** The number of actions carried out, including those during shrinking. */
  readonly steps: number;
  readonly requests: { readonly answered: number; readonly failed: number };
  readonly ordersRun: number;
  readonly failure: FailingCase | null;
}

/** Thrown when a schedule broke a promise. */
class BrokenPromiseError extends Error {
  constructor(readonly violations: readonly Violation[]) {
    super(violations.map(({ promise, detail }) => `${promise}: ${detail}`).join('; '));
  }
}

/** Runs a campaign. The same options give the same schedules. */
export function runCampaign(options: CampaignOptions): CampaignResult {
  const totals = { steps: 0, answered: 0, failed: 0, ordersRun: 0 };
  let lastViolations: readonly Violation[] = [];
  const property = fc.property(
    fc.integer({ min: 1, max: 1_000_000 }),
    fc.commands(ACTIONS, {
      maxCommands: MAX_ACTIONS,
      size: 'max',
      ...(options.replayPath === undefined ? {} : { replayPath: options.replayPath }),
    }),
    (worldSeed, commands) => {
      const world = new FuzzWorld(worldSeed);
      fc.modelRun(() => ({ model: {}, real: world }), commands);
      world.finish();
      const { counts, violations, ordersRun } = world.oracle;
      totals.steps += [...commands].length;
      totals.answered += counts.answered;
      totals.failed += counts.refusedNotRun + counts.unknown + counts.disconnected;
      totals.ordersRun += ordersRun;
      if (violations.length > 0) {
        lastViolations = violations;
        throw new BrokenPromiseError(violations);
      }
    },
  );
  const details = fc.check(property, {
    seed: options.seed,
    numRuns: options.schedules,
    ...(options.path === undefined ? {} : { path: options.path }),
    ...(options.timeLimitMs === null ? {} : { interruptAfterTimeLimit: options.timeLimitMs }),
  });
  return {
    schedules: details.numRuns,
    steps: totals.steps,
    requests: { answered: totals.answered, failed: totals.failed },
    ordersRun: totals.ordersRun,
    failure:
      details.counterexample === null
        ? null
        : {
            violations: violationsOf(details.errorInstance, lastViolations),
            actions: [
              `world seed ${details.counterexample[0]}`,
              ...[...details.counterexample[1]].map(String),
            ],
            seed: details.seed,
            path: details.counterexamplePath ?? '',
            replayPath: replayPathOf(details.counterexample[1]),
          },
  };
}

/** fast-check exposes the path of shrunk commands only in their text. */
function replayPathOf(commands: Iterable<unknown>): string {
  return /replayPath="([^"]*)"/.exec(String(commands))?.[1] ?? '';
}

function violationsOf(error: unknown, last: readonly Violation[]): readonly Violation[] {
  if (error instanceof BrokenPromiseError) {
    return error.violations;
  }
  if (error instanceof Error) {
    return [{ promise: 'no-final-answer', at: 0, detail: error.stack ?? error.message }];
  }
  return last;
}
