/** `threadfork-lab fleet`: runs a fleet of processes without load until Ctrl-C. */
import { Command, Option } from 'clipanion';
import { addressesText, loadFleet, RunningFleet } from '../fleet/index.js';
import { EXIT_DONE, EXIT_FAILED } from './exit-codes.js';
import { aborted, createInterruptSignal, fleetPath } from './fleet-options.js';
import { LabCommand } from './lab-command.js';
import { ProgressWriter } from './progress.js';

/** Starts a fleet, prints its addresses as one JSON line, and stops it on Ctrl-C. */
export class FleetCommand extends LabCommand {
  static override paths = [['fleet']];
  static override usage = Command.Usage({
    description: 'Run a fleet of processes without load until Ctrl-C.',
    examples: [['The roasters', '$0 fleet --fleet roasting']],
  });

  fleet = Option.String('--fleet', 'scanhuis', { description: 'scanhuis, roasting or a file' });

  protected override async runCommand(): Promise<number> {
    const interrupted = createInterruptSignal();
    const progress = new ProgressWriter(process.stderr);
    const fleet = new RunningFleet(loadFleet(fleetPath(this.fleet)), {
      logFolder: null,
      signal: interrupted,
      onStep: (step) => progress.line(step),
    });
    try {
      await fleet.start();
      progress.line(addressesText(fleet));
      this.context.stdout.write(`${addressesJson(fleet)}\n`);
      await aborted(interrupted);
    } finally {
      await fleet.stop();
    }
    for (const problem of fleet.problems) progress.line(`failed: ${problem}`);
    return fleet.problems.length === 0 ? EXIT_DONE : EXIT_FAILED;
  }
}

function addressesJson({ platform, engines, webs, daemons }: RunningFleet): string {
  const backends = [...engines, ...webs].map(({ name, zone, endpoint, process }) => {
    return { name, zone, ...endpoint, pid: process.pid };
  });
  const daemonRows = daemons.map(({ name, zone, callers, operators, peers, process }) => {
    return { name, zone, callers, operators, peers, pid: process.pid };
  });
  return JSON.stringify({ ready: true, platform, backends, daemons: daemonRows });
}
