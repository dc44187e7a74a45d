/** `npm run report`: writes an HTML report on runs of a scenario with one seed. */
import { writeFileSync } from 'node:fs';
import { Command, Option, UsageError } from 'clipanion';
import { policyOption, scenarioOption } from '../src/lab/commands/experiment-options.js';
import { LabCommand } from '../src/lab/commands/lab-command.js';
import { numberOption } from '../src/lab/commands/options.js';
import { runExperiment } from '../src/lab/experiment/index.js';
import { plots, reportPage } from '../src/lab/report/index.js';
import { renderSvg } from './render.js';

const MAX_SEED = 0x7fffffff;
const MAX_STRETCH = 100;

/** Runs the policies and writes the report. */
export class ReportCommand extends LabCommand {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: 'Write a self-contained HTML file with plots of runs of a scenario.',
    examples: [
      [
        'The planner compared with the threshold policy',
        '$0 --scenario noise-only --policies planner,threshold --seed 1 --out report.html',
      ],
    ],
  });

  scenario = Option.String('--scenario', { required: true, description: 'name or YAML file' });
  policies = Option.String('--policies', 'planner', {
    description: 'comma-separated policy names',
  });
  seed = Option.String('--seed', '1', { description: 'seed of the random numbers' });
  stretch = Option.String('--stretch', '1', {
    description: 'factor for the duration of all phases',
  });
  out = Option.String('--out', { required: true, description: 'the HTML file to write' });

  protected override async runCommand(): Promise<number> {
    const seed = numberOption('--seed', this.seed, 0, MAX_SEED);
    const stretch = numberOption('--stretch', this.stretch, 0.001, MAX_STRETCH);
    const scenario = scenarioOption(this.scenario);
    const names = this.policies.split(',').filter((name) => name !== '');
    if (names.length === 0) throw new UsageError('--policies: name at least one policy.');
    const results = names.map((name) => {
      const policy = policyOption('--policies', name, scenario, stretch);
      return runExperiment({ scenario, policy, seed, stretch });
    });
    const svg = await renderSvg(plots(results));
    writeFileSync(this.out, reportPage({ about: scenario.definition.about, results, svg }));
    this.context.stdout.write(`${this.out}\n`);
    return 0;
  }
}
