/** `threadfork-lab hollow`: runs many daemons or engines in one process, for scale runs. */
import { Command, Option } from 'clipanion';
import { FLEET_KEY_VARIABLE } from '../fleet/commands.js';
import { startHollowDaemons } from '../hollow/hollow-daemons.js';
import { startHollowEngines } from '../hollow/hollow-engines.js';
import { EXIT_DONE } from './exit-codes.js';
import { LabCommand } from './lab-command.js';
import { waitForStopSignal } from './listed-machine.js';
import { choiceOption, endpointOption, numberOption } from './options.js';

const KINDS = ['daemons', 'engines'] as const;
const MAX_COUNT = 1_000;

/** Runs many daemons or engines in this process until a stop signal. */
export class HollowCommand extends LabCommand {
  static override paths = [['hollow']];
  static override usage = Command.Usage({
    description: 'Run many daemons or engines in one process, for scale runs.',
    details: `
      Each has its own sockets and its entry in the machine list; they share only the process. Prints
      one JSON line with their endpoints once all of them listen.
    `,
    examples: [
      ['Twenty daemons', '$0 hollow --kind daemons --count 20 --platform 127.0.0.1:9000'],
      ['Fifty engines', '$0 hollow --kind engines --count 50 --platform 127.0.0.1:9000'],
    ],
  });

  kind = Option.String('--kind', { required: true, description: 'daemons or engines' });
  platform = Option.String('--platform', { required: true, description: 'IP:PORT' });
  first = Option.String('--first', '1', { description: 'number of the first daemon or engine' });
  count = Option.String('--count', '1', { description: 'number of daemons or engines' });
  zones = Option.String('--zones', '5', { description: 'number of zones they are spread over' });
  models = Option.String('--models', '4', { description: 'number of models of the engines' });

  protected override async runCommand(): Promise<number> {
    const shared = {
      platform: endpointOption('--platform', this.platform),
      first: numberOption('--first', this.first, 0, MAX_COUNT),
      count: numberOption('--count', this.count, 1, MAX_COUNT),
      zones: numberOption('--zones', this.zones, 1, MAX_COUNT),
    };
    if (choiceOption('--kind', this.kind, KINDS) === 'engines') {
      const models = numberOption('--models', this.models, 1, MAX_COUNT);
      const servers = await startHollowEngines({ ...shared, models });
      this.printReady({ engines: servers.map((server) => server.endpoint) });
      await waitForStopSignal();
      await Promise.all(servers.map((server) => server.close()));
      return EXIT_DONE;
    }
    const fleetKey = process.env[FLEET_KEY_VARIABLE] ?? '';
    const hollow = await startHollowDaemons({ ...shared, fleetKey });
    this.printReady({
      operators: hollow.daemons.map((daemon) => daemon.operators),
      callers: hollow.daemons.map((daemon) => daemon.callers),
    });
    await waitForStopSignal();
    hollow.close();
    return EXIT_DONE;
  }

  private printReady(fields: object): void {
    this.context.stdout.write(`${JSON.stringify({ ready: true, ...fields })}\n`);
  }
}
