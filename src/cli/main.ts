#!/usr/bin/env node
/** Entry point of `threadfork`. */
import { Cli } from 'clipanion';
import { runCli } from './run.js';

// A reader such as `head` may close the pipe before all output is written; this is not an error.
process.stdout.on('error', () => process.exit());

process.exitCode = await runCli(process.argv.slice(2), {
  ...Cli.defaultContext,
  isTerminal: process.stdout.isTTY === true,
});
