/** `threadfork-lab run`: runs one scenario in virtual time. */
import { Command, Option } from 'clipanion';
import { type ExperimentResult, runExperiment } from '../experiment/index.js';
import { EXIT_DONE, EXIT_FAILED } from './exit-codes.js';
import {
  MAX_SEED,
  MAX_STRETCH,
  MIN_STRETCH,
  policyOption,
  scenarioOption,
} from './experiment-options.js';
import { LabCommand } from './lab-command.js';
import { numberOption } from './options.js';

/** Runs a scenario and prints the measurements. */
export class RunCommand extends LabCommand {
  static override paths = [['run']];
  static override usage = Command.Usage({
    description: 'Run a scenario on daemons and emulated engines in one process, in virtual time.',
    details: `
      Equal scenario, policy and seed give byte-identical output. Exits 1 when an
      answer was wrong or cut or another promise was broken, and 2 when the scenario can't be used.
    `,
    examples: [
      ['A scenario of this package', '$0 run --scenario scanhuis-night-to-morning --seed 1 --json'],
      ['A scenario of your own', '$0 run --scenario my-scenario.yaml --policy fixed:0p4d'],
    ],
  });

  scenario = Option.String('--scenario', { required: true, description: 'name or YAML file' });
  seed = Option.String('--seed', '1', { description: 'seed of all random choices' });
  policy = Option.String('--policy', 'planner', { description: 'policy that decides the roles' });
  stretch = Option.String('--stretch', '1', { description: 'factor on the durations of phases' });
  json = Option.Boolean('--json', false, {
    description: 'print one JSON line, time series included',
  });

  protected override async runCommand(): Promise<number> {
    const seed = numberOption('--seed', this.seed, 0, MAX_SEED);
    const stretch = numberOption('--stretch', this.stretch, MIN_STRETCH, MAX_STRETCH);
    const scenario = scenarioOption(this.scenario);
    const policy = policyOption('--policy', this.policy, scenario, stretch);
    const result = runExperiment({ scenario, policy, seed, stretch });
    this.context.stdout.write(this.json ? `${JSON.stringify(result)}\n` : resultText(result));
    const broken = result.wrong + result.cut + result.violations.length;
    return broken > 0 ? EXIT_FAILED : EXIT_DONE;
  }
}

function resultText(result: ExperimentResult): string {
  const { goodput, offered, first_token, between_tokens, queues } = result;
  const share = (100 * goodput.tokens_per_second) / Math.max(offered.tokens_per_second, 1e-9);
  const lines = [
    `${result.scenario} with ${result.policy}, seed ${result.seed}, ${result.duration_s} s`,
    `goodput ${goodput.tokens_per_second.toFixed(1)} tokens/s (${share.toFixed(1)} % of offered), ${goodput.requests_per_second.toFixed(2)} requests/s`,
    `role changes ${result.role_changes} (lasting shifts of the mix: ${result.shifts})`,
    `sent ${result.sent}: finished ${result.finished}, refused ${result.refused}, unknown ${result.unknown}, cut ${result.cut}, wrong ${result.wrong}`,
    `first token p50 ${first_token.p50Ms} ms, p95 ${first_token.p95Ms} ms, p99 ${first_token.p99Ms} ms`,
    `between tokens p50 ${between_tokens.p50Ms} ms, p95 ${between_tokens.p95Ms} ms, p99 ${between_tokens.p99Ms} ms`,
    `waiting in daemons ${queues.waiting_in_daemons.mean.toFixed(1)} (highest ${queues.waiting_in_daemons.highest}), in engines ${queues.queued_in_engines.mean.toFixed(1)} (highest ${queues.queued_in_engines.highest})`,
    ...result.violations,
  ];
  return `${lines.join('\n')}\n`;
}
