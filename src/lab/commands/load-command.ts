/** `threadfork-lab load`: sends a workload to daemons and checks every answer. */
import { Command, Option, UsageError } from 'clipanion';
import { loadWorkload, progressLine } from '../fleet/index.js';
import { Load, OUTCOME_KINDS } from '../load/index.js';
import { withScaledDurations } from '../workload/index.js';
import { EXIT_DONE, EXIT_FAILED, EXIT_UNREACHABLE } from './exit-codes.js';
import { createInterruptSignal } from './fleet-options.js';
import { LabCommand } from './lab-command.js';
import { endpointOption, numberOption } from './options.js';
import { ProgressWriter } from './progress.js';

const MAX_STRETCH = 1_000;
const MAX_RETRIES = 100;
const MAX_FINAL_WAIT_MS = 30_000;

/** Sends a workload to running daemons. */
export class LoadCommand extends LabCommand {
  static override paths = [['load']];
  static override usage = Command.Usage({
    description: 'Send a workload to daemons, open-loop, and check every answer.',
    details: `
      Prints the report as one JSON line. Exits 1 when an answer was wrong or cut, and 3 when all
      connections were refused.
    `,
    examples: [
      [
        'To two daemons',
        '$0 load --workload examples/workloads/scanhuis-shift.yaml --target 127.0.0.1:8001 --target 127.0.0.1:8002',
      ],
    ],
  });

  workload = Option.String('--workload', { required: true, description: 'YAML file' });
  targets = Option.Array('--target', [], {
    description: "IP:PORT of a daemon's caller endpoint; may be repeated",
  });
  stretch = Option.String('--stretch', '1', { description: 'factor on the durations of phases' });
  seed = Option.String('--seed', { description: "seed to use instead of the file's" });
  retries = Option.String('--retries', '0', {
    description: 'retries per request after a refusal with Retry-After',
  });

  protected override async runCommand(): Promise<number> {
    if (this.targets.length === 0) throw new UsageError('--target: give at least one daemon.');
    const progress = new ProgressWriter(process.stderr);
    const load = new Load({
      workload: this.readWorkload(),
      targets: this.targets.map((target) => endpointOption('--target', target)),
      maxRetries: numberOption('--retries', this.retries, 0, MAX_RETRIES),
      finalTimeoutMs: MAX_FINAL_WAIT_MS,
      signal: createInterruptSignal(),
    });
    const show = (): void => progress.update(progressLine(load.progress()));
    const ticker = setInterval(show, progress.intervalMs);
    const report = await load.run();
    clearInterval(ticker);
    this.context.stdout.write(`${JSON.stringify(report)}\n`);
    const { wrong, cut } = report.outcomes;
    if (wrong + cut > 0) return EXIT_FAILED;
    const refusedConnections = report.codes.ECONNREFUSED ?? 0;
    const outcomes = OUTCOME_KINDS.reduce((sum, kind) => sum + report.outcomes[kind], 0);
    return outcomes > 0 && refusedConnections === outcomes ? EXIT_UNREACHABLE : EXIT_DONE;
  }

  private readWorkload() {
    const stretch = numberOption('--stretch', this.stretch, 0.01, MAX_STRETCH);
    const workload = withScaledDurations(loadWorkload(this.workload), stretch);
    if (this.seed === undefined) return workload;
    return { ...workload, seed: numberOption('--seed', this.seed, 0, 0x7fffffff) };
  }
}
