/** `threadfork-lab platform`: runs the emulated platform as a process. */
import { Command, Option } from 'clipanion';
import { createPlatformServer, DEFAULT_PLATFORM_OPTIONS } from '../platform/index.js';
import { EXIT_DONE } from './exit-codes.js';
import { LabCommand } from './lab-command.js';
import { printReady, waitForStopSignal } from './listed-machine.js';
import { endpointOption, numberOption } from './options.js';

const MAX_RATE = 1_000_000;
const MAX_LAG_MS = 600_000;
/** The burst is the number of calls that the rate allows in two seconds. */
const BURST_SECONDS = 2;

/** Runs the emulated platform until a stop signal. */
export class PlatformCommand extends LabCommand {
  static override paths = [['platform']];
  static override usage = Command.Usage({
    description: 'Run the emulated platform: table, objects, weights, machine list.',
    details: `
      Prints one JSON line on standard output once it listens. Keeps everything in memory.
      Faults can be set at run time by POST /faults; see docs/PLATFORM-API.md.
    `,
    examples: [
      ['Listen on a free port', '$0 platform --listen 127.0.0.1:0'],
      ['A slow store', '$0 platform --listen 127.0.0.1:9000 --table-rate 20'],
    ],
  });

  listen = Option.String('--listen', '127.0.0.1:0', {
    description: 'IP:PORT; port 0: any free port',
  });
  tableRate = Option.String('--table-rate', { description: 'limit of table calls per second' });
  machineLagMs = Option.String('--machine-lag-ms', {
    description: 'delay of changes to the machine list',
  });

  protected override async runCommand(): Promise<number> {
    const listen = endpointOption('--listen', this.listen);
    const server = await createPlatformServer(listen, {
      limits: { ...DEFAULT_PLATFORM_OPTIONS.limits, table: this.tableLimit() },
      machineLagMs: this.lag(),
    });
    printReady(this.context.stdout, server);
    await waitForStopSignal();
    await server.close();
    return EXIT_DONE;
  }

  private tableLimit() {
    if (this.tableRate === undefined) return DEFAULT_PLATFORM_OPTIONS.limits.table;
    const perSecond = numberOption('--table-rate', this.tableRate, 1, MAX_RATE);
    return { perSecond, burst: perSecond * BURST_SECONDS };
  }

  private lag(): number {
    if (this.machineLagMs === undefined) return DEFAULT_PLATFORM_OPTIONS.machineLagMs;
    return numberOption('--machine-lag-ms', this.machineLagMs, 0, MAX_LAG_MS);
  }
}
