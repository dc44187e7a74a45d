/** Runs one command line of `threadfork` with the given streams and environment. */
import { Builtins, Cli } from 'clipanion';
import { packageVersion } from '../shell/settings/index.js';
import { ApplyCommand } from './commands/apply.js';
import { CompleteCommand } from './commands/complete.js';
import { CompletionCommand } from './commands/completion.js';
import { ConfigCheckCommand, ConfigShowCommand } from './commands/config.js';
import { ExplainCommand } from './commands/explain.js';
import { QueryCommand } from './commands/query.js';
import { StatusCommand } from './commands/status.js';
import { TraceCommand } from './commands/trace.js';
import { VersionCommand } from './commands/version.js';
import { type CliContext, usesColors } from './context.js';
import { EXIT_USAGE } from './exit-codes.js';

const COMMANDS = [
  QueryCommand,
  ApplyCommand,
  ExplainCommand,
  TraceCommand,
  StatusCommand,
  ConfigCheckCommand,
  ConfigShowCommand,
  CompleteCommand,
  VersionCommand,
  CompletionCommand,
  Builtins.HelpCommand,
  Builtins.VersionCommand,
];

/** Runs a command line with output to the context's streams; resolves to the exit code. */
export async function runCli(commandLine: readonly string[], context: CliContext): Promise<number> {
  const cli = new Cli<CliContext>({
    binaryLabel: 'threadfork: the command line of operators and callers',
    binaryName: 'threadfork',
    binaryVersion: packageVersion(),
    enableColors: usesColors(context),
  });
  for (const command of COMMANDS) {
    cli.register(command);
  }
  try {
    const command = cli.process([...commandLine], context);
    return await cli.run(command, context);
  } catch (error) {
    context.stderr.write(cli.error(error));
    return EXIT_USAGE;
  }
}
