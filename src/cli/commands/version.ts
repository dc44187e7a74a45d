/** `threadfork version`: the version of this program. */
import { Command } from 'clipanion';
import { packageVersion } from '../../shell/settings/index.js';
import { BaseCommand } from '../base-command.js';
import { EXIT_DONE } from '../exit-codes.js';

/** Prints the version of the program. */
export class VersionCommand extends BaseCommand {
  static override paths = [['version']];
  static override usage = Command.Usage({
    description: 'Print the version of this program.',
    examples: [['For a program', '$0 version --json']],
  });

  override async run(): Promise<number> {
    const version = packageVersion();
    if (this.json) {
      this.printJson({ version });
    } else {
      this.print(`threadfork ${version}\n`);
    }
    return EXIT_DONE;
  }
}
