/** `threadfork completion`: prints a script for a shell. */
import { Command, Option } from 'clipanion';
import { BaseCommand } from '../base-command.js';
import { completionScript, SHELLS } from '../completion-script.js';
import { EXIT_DONE } from '../exit-codes.js';

/** Prints the completion script of a shell. */
export class CompletionCommand extends BaseCommand {
  static override paths = [['completion']];
  static override usage = Command.Usage({
    description: 'Print a completion script for bash, zsh or fish.',
    examples: [
      ['In bash or zsh', 'source <($0 completion bash)'],
      ['In fish', '$0 completion fish | source'],
    ],
  });

  shell = Option.String({ name: 'bash|zsh|fish' });

  override async run(): Promise<number> {
    const shell = SHELLS.find((known) => known === this.shell);
    if (shell === undefined) {
      return this.reportUsageError(
        `no completion for "${this.shell}"; name one of ${SHELLS.join(', ')}`,
      );
    }
    this.print(completionScript(shell, this.cli.definitions()));
    return EXIT_DONE;
  }
}
