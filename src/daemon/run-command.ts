/** Runs the command line of `threadforkd`. */
import { Builtins, Cli, type Command } from 'clipanion';
import { packageVersion } from '../shell/settings/index.js';
import { DaemonCommand, type DaemonContext, EXIT_USAGE } from './command.js';
import type { StopSignals } from './stop-signals.js';
import type { StartDaemon } from './types.js';

// Loaded late so that --check-config and --help need none of the daemon's modules.
const startDaemon: StartDaemon = async (settings, logger) => {
  const daemonModule = await import('./daemon.js');
  return daemonModule.startDaemon(settings, logger);
};

function createCli(): Cli<DaemonContext> {
  const cli = new Cli<DaemonContext>({
    binaryLabel: 'threadforkd',
    binaryName: 'threadforkd',
    binaryVersion: packageVersion(),
    enableColors: process.stdout.isTTY === true,
  });
  cli.register(DaemonCommand);
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  return cli;
}

function parseArguments(cli: Cli<DaemonContext>, context: DaemonContext): Command<DaemonContext> {
  try {
    return cli.process(process.argv.slice(2), context);
  } catch (cause) {
    process.stderr.write(cli.error(cause));
    process.exit(EXIT_USAGE);
  }
}

/** Runs the command that the arguments name, and ends the process with its exit code. */
export async function runCommand(signals: StopSignals): Promise<never> {
  const cli = createCli();
  const context: DaemonContext = { ...Cli.defaultContext, startDaemon, signals };
  const exitCode = await cli.run(parseArguments(cli, context), context);
  // Ends the process even if a connection or timer is still open.
  process.exit(exitCode);
}
