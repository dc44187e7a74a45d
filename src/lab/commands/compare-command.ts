/** `threadfork-lab compare`: compares policies on one scenario over several seeds. */
import { Command, Option, UsageError } from 'clipanion';
import { type Comparison, compare, type Estimate } from '../experiment/index.js';
import { EXIT_DONE, EXIT_FAILED } from './exit-codes.js';
import { MAX_STRETCH, MIN_STRETCH, policyOption, scenarioOption } from './experiment-options.js';
import { LabCommand } from './lab-command.js';
import { numberOption } from './options.js';

const MAX_SEEDS = 1_000;

/** Compares policies and prints means with 95 % confidence intervals. */
export class CompareCommand extends LabCommand {
  static override paths = [['compare']];
  static override usage = Command.Usage({
    description: 'Compare role policies on a scenario over seeds 1 to N, in virtual time.',
    details: `
      For one seed all policies get the same requests. Intervals are 95 % confidence intervals from
      Student's t distribution. best-fixed and oracle first select their splits on seed 0, which
      takes many runs. Exits 1 when any answer was wrong or cut or another promise was broken.
    `,
    examples: [
      [
        'The planner and its reference policies',
        '$0 compare --scenario noise-only --policies planner,best-fixed,threshold,oracle --seeds 5',
      ],
    ],
  });

  scenario = Option.String('--scenario', { required: true, description: 'name or YAML file' });
  policies = Option.String('--policies', { required: true, description: 'comma-separated names' });
  seeds = Option.String('--seeds', '5', { description: 'number of seeds' });
  stretch = Option.String('--stretch', '1', { description: 'factor on the durations of phases' });
  json = Option.Boolean('--json', false, { description: 'print one JSON line' });

  protected override async runCommand(): Promise<number> {
    const scenario = scenarioOption(this.scenario);
    const stretch = numberOption('--stretch', this.stretch, MIN_STRETCH, MAX_STRETCH);
    const count = numberOption('--seeds', this.seeds, 1, MAX_SEEDS);
    if (!Number.isInteger(count)) throw new UsageError('--seeds: give a whole number.');
    const names = this.policies.split(',').filter((name) => name !== '');
    if (names.length === 0) throw new UsageError('--policies: name at least one policy.');
    const comparison = compare({
      scenario,
      stretch,
      policies: names.map((name) => policyOption('--policies', name, scenario, stretch)),
      seeds: Array.from({ length: count }, (_, index) => index + 1),
      onRun: ({ policy, seed }) => this.context.stderr.write(`${policy}, seed ${seed}: done\n`),
    });
    const text = this.json ? `${JSON.stringify(comparison)}\n` : comparisonText(comparison);
    this.context.stdout.write(text);
    const isBroken = comparison.policies.some(
      ({ wrong, cut, violations }) => wrong + cut + violations > 0,
    );
    return isBroken ? EXIT_FAILED : EXIT_DONE;
  }
}

function comparisonText({ scenario, seeds, shifts, policies }: Comparison): string {
  const lines = policies.flatMap((figures) => [
    figures.policy,
    `  goodput tokens/s ${estimateText(figures.tokens_per_second, 1)}, of offered ${estimateText(figures.share_of_offered, 3)}, to the first policy ${estimateText(figures.ratio_to_first, 3)}`,
    `  role changes ${estimateText(figures.role_changes, 1)}, first token p95 ms ${estimateText(figures.first_token_p95_ms, 0)}, between tokens p95 ms ${estimateText(figures.between_tokens_p95_ms, 0)}`,
    `  refused ${figures.refused}, unknown ${figures.unknown}, cut ${figures.cut}, wrong ${figures.wrong}, other broken promises ${figures.violations}`,
  ]);
  return `${[`${scenario}, ${seeds.length} seeds, ${shifts} shifts`, ...lines].join('\n')}\n`;
}

function estimateText({ mean, low, high }: Estimate, digits: number): string {
  if (low === null || high === null) return mean.toFixed(digits);
  return `${mean.toFixed(digits)} [${low.toFixed(digits)}, ${high.toFixed(digits)}]`;
}
