/** The base class of all commands of `threadfork-lab`. */
import { Command, UsageError } from 'clipanion';
import { EXIT_FAILED, EXIT_USAGE } from './exit-codes.js';

/** A command that reports an error as one line on standard error and an exit code. */
export abstract class LabCommand extends Command {
  /** Does the command's work and returns its exit code. */
  protected abstract runCommand(): Promise<number>;

  override async execute(): Promise<number> {
    try {
      return await this.runCommand();
    } catch (error) {
      if (!(error instanceof Error)) throw error;
      this.context.stderr.write(`threadfork-lab: ${error.message}\n`);
      return error instanceof UsageError ? EXIT_USAGE : EXIT_FAILED;
    }
  }
}
