#!/usr/bin/env node
/** Entry point of the model checker without the other lab commands: `npm run model`. */
import { Builtins, Cli } from 'clipanion';
import { ModelCommand } from './command.js';

const cli = new Cli({ binaryLabel: 'threadfork model checker', binaryName: 'npm run' });
cli.register(ModelCommand);
cli.register(Builtins.HelpCommand);
process.exitCode = await cli.run(['model', ...process.argv.slice(2)]);
