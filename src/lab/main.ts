#!/usr/bin/env node
/** Entry point of `threadfork-lab`: emulated machines, load and fleets. Not needed in production. */
import { Builtins, Cli, type Command } from 'clipanion';
import { packageVersion } from '../shell/settings/index.js';
import { CompareCommand } from './commands/compare-command.js';
import { DemoCommand } from './commands/demo-command.js';
import { EngineCommand } from './commands/engine-command.js';
import { EXIT_USAGE } from './commands/exit-codes.js';
import { FleetCommand } from './commands/fleet-command.js';
import { HollowCommand } from './commands/hollow-command.js';
import { LoadCommand } from './commands/load-command.js';
import { PlatformCommand } from './commands/platform-command.js';

import { RunCommand } from './commands/run-command.js';

import { ScaleCommand } from './commands/scale-command.js';

import { WebCommand } from './commands/web-command.js';

const cli = new Cli({
  binaryLabel: 'threadfork-lab',
  binaryName: 'threadfork-lab',
  binaryVersion: packageVersion(),
  enableColors: process.stdout.isTTY === true,
});
cli.register(PlatformCommand);
cli.register(EngineCommand);
cli.register(WebCommand);
cli.register(LoadCommand);
cli.register(FleetCommand);
cli.register(DemoCommand);
cli.register(RunCommand);
cli.register(CompareCommand);
cli.register(HollowCommand);
cli.register(ScaleCommand);
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);

function parseArguments(): Command {
  try {
    return cli.process(process.argv.slice(2), Cli.defaultContext);
  } catch (cause) {
    process.stderr.write(cli.error(cause));
    process.exit(EXIT_USAGE);
  }
}

process.exitCode = await cli.run(parseArguments());
