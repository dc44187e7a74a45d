/** `threadfork-lab demo`: runs a fleet of processes through its workload on loopback. */
import { mkdirSync } from 'node:fs';
import { Command, Option } from 'clipanion';
import {
  addressesText,
  loadFleet,
  progressLine,
  RunningFleet,
  reportText,
  runShift,
  type ShiftReport,
  violations,
} from '../fleet/index.js';
import { withScaledDurations } from '../workload/index.js';
import { EXIT_DONE, EXIT_FAILED } from './exit-codes.js';
import { aborted, createInterruptSignal, fleetPath } from './fleet-options.js';
import { LabCommand } from './lab-command.js';
import { numberOption } from './options.js';
import { ProgressWriter } from './progress.js';

const MAX_STRETCH = 1_000;
const MAX_RETRIES = 100;

/** Starts a fleet, runs its workload, prints the result, and stops the fleet. */
export class DemoCommand extends LabCommand {
  static override paths = [['demo']];
  static override usage = Command.Usage({
    description: 'Run a small fleet through its workload, with every part in its own process.',
    details: `
      Starts the emulated platform, emulated engines, web backends and daemons on loopback, sends
      the fleet's workload for about 20 seconds, checks every answer and prints a table. Exits 1
      when an answer was wrong or cut, an outcome unknown, or a part failed.
    `,
    examples: [
      ['The Scanhuis fleet', '$0 demo'],
      ['The roasters', '$0 demo --fleet roasting'],
      ['Keep the fleet running until Ctrl-C', '$0 demo --keep'],
      ['For a script', '$0 demo --json'],
    ],
  });

  fleet = Option.String('--fleet', 'scanhuis', { description: 'scanhuis, roasting or a file' });
  keep = Option.Boolean('--keep', false, { description: 'keep the fleet running until Ctrl-C' });
  json = Option.Boolean('--json', false, { description: 'print the result as JSON' });
  stretch = Option.String('--stretch', '1', { description: 'factor on the durations of phases' });
  retries = Option.String('--retries', '3', {
    description: 'retries per request after a refusal with Retry-After',
  });
  logs = Option.String('--logs', { description: 'folder for the logs of all processes' });

  private readonly interrupted = createInterruptSignal();
  private brokenOff = false;

  protected override async runCommand(): Promise<number> {
    const stretch = numberOption('--stretch', this.stretch, 0.01, MAX_STRETCH);
    const maxRetries = numberOption('--retries', this.retries, 0, MAX_RETRIES);
    const definition = loadFleet(fleetPath(this.fleet));
    const progress = new ProgressWriter(process.stderr);
    const fleet = new RunningFleet(definition, {
      logFolder: this.logFolder(),
      signal: this.interrupted,
      onStep: (step) => progress.line(step),
    });
    let report: ShiftReport | null = null;
    try {
      await fleet.start();
      progress.line(addressesText(fleet));
      report = await runShift(fleet, {
        workload: withScaledDurations(definition.workload, stretch),
        maxRetries,
        signal: this.interrupted,
        onProgress: (state) => progress.update(progressLine(state)),
        progressEveryMs: progress.intervalMs,
      });
      this.brokenOff = this.interrupted.aborted;
      this.print(fleet, report);
      if (this.keep) await this.keepUp(progress);
    } finally {
      await fleet.stop();
    }
    return this.verdict(fleet, report, progress);
  }

  private logFolder(): string | null {
    if (this.logs === undefined) return null;
    mkdirSync(this.logs, { recursive: true });
    return this.logs;
  }

  private print(fleet: RunningFleet, report: ShiftReport): void {
    const text = this.json ? jsonText(fleet, report) : reportText(fleet, report);
    this.context.stdout.write(`${text}\n`);
  }

  private async keepUp(progress: ProgressWriter): Promise<void> {
    progress.line('the fleet keeps running; stop it with Ctrl-C');
    await aborted(this.interrupted);
  }

  private verdict(fleet: RunningFleet, report: ShiftReport, progress: ProgressWriter): number {
    // Requests in flight at an interruption end abnormally, which is not a fault of the fleet.
    const findings = [...(this.brokenOff ? [] : violations(report)), ...fleet.problems];
    if (this.brokenOff) progress.line('interrupted: the workload was aborted');
    for (const finding of findings) progress.line(`failed: ${finding}`);
    for (const detail of report.load.details) progress.line(`  ${detail}`);
    return findings.length === 0 && !this.brokenOff ? EXIT_DONE : EXIT_FAILED;
  }
}

function jsonText(fleet: RunningFleet, report: ShiftReport): string {
  const daemons = fleet.daemons.map(({ name, zone, callers, operators }) => {
    return { name, zone, callers, operators };
  });
  return JSON.stringify({ ...report, violations: violations(report), daemons });
}
