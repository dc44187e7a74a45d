/** What the commands have in common: output, faults and exit codes. */
import { Command, Option } from 'clipanion';
import type { Fault } from '../core/errors/fault.js';
import { type CliContext, usesColors } from './context.js';
import { EXIT_REFUSED, EXIT_UNKNOWN, EXIT_USAGE } from './exit-codes.js';
import { printable } from './text.js';

/** A command of `threadfork`. */
export abstract class BaseCommand extends Command<CliContext> {
  json = Option.Boolean('--json', false, { description: 'print JSON' });

  /** Does the work and says with which code to exit. */
  abstract run(): Promise<number>;

  /** A command that fails unforeseen must not look refused. */
  override async execute(): Promise<number> {
    try {
      return await this.run();
    } catch (error) {
      const reason = error instanceof Error ? (error.stack ?? error.message) : String(error);
      this.printError(`threadfork failed: ${reason}. This is a fault of threadfork; report it.`);
      return EXIT_UNKNOWN;
    }
  }

  protected get colored(): boolean {
    return usesColors(this.context);
  }

  protected print(text: string): void {
    this.context.stdout.write(text);
  }

  protected printJson(value: unknown): void {
    this.print(`${JSON.stringify(value, null, 2)}\n`);
  }

  protected printError(text: string): void {
    this.context.stderr.write(`${text}\n`);
  }

  /** Says what is wrong with the command line. */
  protected reportUsageError(problem: string): number {
    this.printError(`threadfork: ${problem}`);
    return EXIT_USAGE;
  }

  /** Tells a fault and gives its exit code. */
  protected reportFault(fault: Fault): number {
    if (this.json) {
      this.printJson({ error: fault });
    }
    const notRun = fault.outcome === 'refused-not-run';
    this.printError(`${notRun ? 'refused' : 'unknown'}: ${printable(fault.message)}`);
    return notRun ? EXIT_REFUSED : EXIT_UNKNOWN;
  }
}
