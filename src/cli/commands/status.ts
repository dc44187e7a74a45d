/** `threadfork status`: how a daemon is doing. */
import { Command } from 'clipanion';
import { statusSchema } from '../answers.js';
import { EXIT_DONE } from '../exit-codes.js';
import { OperatorCommand } from '../operator-command.js';
import { formatTable } from '../text.js';

/** Asks the first daemon that answers how it is doing. */
export class StatusCommand extends OperatorCommand {
  static override paths = [['status']];
  static override usage = Command.Usage({
    description: 'Show how a daemon is doing and what it knows of the fleet.',
    examples: [
      ['One daemon', '$0 status --daemon 127.0.0.1:9000'],
      ['For a program', '$0 status --json'],
    ],
  });

  override run(): Promise<number> {
    const call = { method: 'GET', path: '/v1/status' } as const;
    return this.callAndShow(call, statusSchema, (status) => {
      if (this.json) {
        this.printJson(status);
        return EXIT_DONE;
      }
      const rows = Object.entries(status).map(([name, value]) => ({ name, value }));
      this.print(formatTable(['name', 'value'], rows, this.colored));
      return EXIT_DONE;
    });
  }
}
