#!/usr/bin/env node
/** Entry point of `threadforkd`: handles signals before the rest of the program is loaded. */
import { StopSignals } from './stop-signals.js';

const signals = new StopSignals();
const { runCommand } = await import('./run-command.js');
await runCommand(signals);
