/**
 * Applies commands to a configuration document: all of them or, with a fault, none. Pure.
 */
import { err, ok, type Result } from 'neverthrow';
import type { ConfigurationDocument } from '../configuration/document.js';
import { parseDocument } from '../configuration/validate.js';
import { type Fault, refusedNotRun } from '../errors/fault.js';
import { applyBackendCommand } from './apply-backend.js';
import { applyModelCommand } from './apply-model.js';
import { applyTrafficCommand } from './apply-traffic.js';
import { type CommandOutcome, createDraft } from './draft.js';
import type { Command } from './syntax.js';

/** The document after all commands, and one sentence for each of them. */
export interface AppliedCommands {
  readonly document: ConfigurationDocument;
  readonly description: readonly string[];
}

/** Applies the commands in order and checks the outcome whole. */
export function applyCommands(
  document: ConfigurationDocument,
  commands: readonly Command[],
): Result<AppliedCommands, Fault> {
  const description: string[] = [];
  const draft = createDraft(document);
  for (const [index, command] of commands.entries()) {
    const applied = applyCommand(draft, command);
    if (applied.isErr()) {
      return err(commandFault(applied.error, index, commands.length));
    }
    description.push(applied.value);
  }
  return parseDocument(draft).andThen((checked) => ok({ document: checked, description }));
}

function applyCommand(draft: ConfigurationDocument, command: Command): CommandOutcome {
  switch (command.kind) {
    case 'serve-model':
    case 'serve-adapter':
    case 'stop-serving-model':
    case 'stop-serving-adapter':
    case 'roll-model':
    case 'roll-adapter':
      return applyModelCommand(draft, command);
    case 'drain':
    case 'return':
    case 'ask-role':
    case 'release-role':
      return ok(applyBackendCommand(draft, command));
    default:
      return applyTrafficCommand(draft, command);
  }
}

function commandFault(problem: string, index: number, count: number): Fault {
  const place = count === 1 ? '' : `Command ${index + 1} of ${count}: `;
  const nothing = count === 1 ? '' : ' None of the commands was applied.';
  return refusedNotRun('invalid-command', `${place}${problem}${nothing}`);
}
