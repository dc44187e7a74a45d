/** `threadfork-lab web`: runs an emulated web backend as a process. */
import { Command, Option } from 'clipanion';
import type { WebMachine } from '../../core/registry/backend.js';
import { createWebBackendServer } from '../web/index.js';
import { EXIT_DONE } from './exit-codes.js';
import { LabCommand } from './lab-command.js';
import { DEFAULT_LEAVE_NOTICE_MS, runListedMachine } from './listed-machine.js';
import { machineListOption } from './machine-list-option.js';
import { endpointOption, numberOption } from './options.js';

const MAX_SERVICE_MS = 3_000;

const MAX_NOTICE_MS = 600_000;

/** Runs one web backend until a stop signal. */
export class WebCommand extends LabCommand {
  static override paths = [['web']];
  static override usage = Command.Usage({
    description: 'Run an emulated web backend: sheet tiles by GET, orders by POST.',
    details: `
      Registers on the platform's machine list and prints one JSON line on standard output once it
      listens. On SIGTERM it reports that it is leaving and removes itself from the list.
    `,
    examples: [
      [
        'A sheet viewer',
        '$0 web --name viewer-1 --zone leiden-a --service viewer --platform 127.0.0.1:9000',
      ],
    ],
  });

  listen = Option.String('--listen', '127.0.0.1:0', {
    description: 'IP:PORT; port 0: any free port',
  });
  platform = Option.String('--platform', { description: 'IP:PORT of the platform' });
  machineName = Option.String('--name', { required: true, description: 'name of the machine' });
  zone = Option.String('--zone', { required: true, description: 'zone of the machine' });
  service = Option.String('--service', {
    required: true,
    description: 'service that the backend belongs to',
  });
  serviceMs = Option.String('--service-ms', '2', { description: 'duration of one request' });
  leaveNoticeMs = Option.String('--leave-notice-ms', DEFAULT_LEAVE_NOTICE_MS, {
    description: 'how long requests are still accepted after SIGTERM',
  });

  protected override async runCommand(): Promise<number> {
    const server = await createWebBackendServer({
      listen: endpointOption('--listen', this.listen),
      name: this.machineName,
      serviceMs: numberOption('--service-ms', this.serviceMs, 0, MAX_SERVICE_MS),
    });
    const machine: WebMachine = {
      kind: 'web',
      name: this.machineName,
      zone: this.zone,
      state: 'live',
      service: this.service,
      ...server.endpoint,
    };
    await runListedMachine(this.context.stdout, {
      machine,
      list: machineListOption(this.platform),
      leaveNoticeMs: numberOption('--leave-notice-ms', this.leaveNoticeMs, 0, MAX_NOTICE_MS),
      markLeaving: () => server.leave(),
      // The default notice exceeds the maximum service time, so no request runs when the notice ends.
      active: () => 0,
    });
    await server.close();
    return EXIT_DONE;
  }
}
