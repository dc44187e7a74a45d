/** Applies the commands about models and adapters. */
import { err, ok } from 'neverthrow';
import type { ConfigurationDocument, ModelConfiguration } from '../configuration/document.js';
import { type CommandOutcome, getOwnEntry } from './draft.js';
import type { Command } from './syntax.js';

/** A command about a model or an adapter. */
export type ModelCommand = Extract<Command, { readonly model: string }>;

/** Applies one command about a model or an adapter. */
export function applyModelCommand(
  draft: ConfigurationDocument,
  command: ModelCommand,
): CommandOutcome {
  if (command.kind === 'serve-model') {
    return serveModel(draft, command);
  }
  const model = getOwnEntry(draft.models, command.model);
  if (model === undefined) {
    return err(
      `The model "${command.model}" is not served. Use serve model ${command.model} version … first.`,
    );
  }
  switch (command.kind) {
    case 'stop-serving-model':
      return stopServingModel(draft, command.model, model);
    case 'roll-model':
      return rollModel(draft, command, model);
    case 'serve-adapter':
      return serveAdapter(draft, command, model);
    default:
      return changeAdapter(draft, command, model);
  }
}

function serveModel(
  draft: ConfigurationDocument,
  command: Extract<Command, { kind: 'serve-model' }>,
): CommandOutcome {
  const present = getOwnEntry(draft.models, command.model);
  const model: ModelConfiguration = {
    version: command.version,
    adapters: present?.adapters ?? {},
    objective: command.objective ?? present?.objective ?? 'goodput',
  };
  draft.models[command.model] = model;
  return ok(`model ${command.model} is served in version ${model.version} for ${model.objective}`);
}

function stopServingModel(
  draft: ConfigurationDocument,
  name: string,
  { adapters }: ModelConfiguration,
): CommandOutcome {
  const names = Object.keys(adapters);
  const withAdapters = names.length === 0 ? '' : `, nor are its adapters ${names.join(', ')}`;
  delete draft.models[name];
  return ok(`model ${name} is no longer served${withAdapters}`);
}

function rollModel(
  draft: ConfigurationDocument,
  { model: name, version }: Extract<Command, { kind: 'roll-model' }>,
  model: ModelConfiguration,
): CommandOutcome {
  draft.models[name] = { ...model, version };
  return ok(`model ${name} rolls from version ${model.version} to ${version}`);
}

function serveAdapter(
  draft: ConfigurationDocument,
  { adapter, model: name, version }: Extract<Command, { kind: 'serve-adapter' }>,
  model: ModelConfiguration,
): CommandOutcome {
  const adapters = { ...model.adapters, [adapter]: { version } };
  draft.models[name] = { ...model, adapters };
  return ok(`adapter ${adapter} on ${name} is served in version ${version}`);
}

function changeAdapter(
  draft: ConfigurationDocument,
  command: Extract<Command, { kind: 'roll-adapter' | 'stop-serving-adapter' }>,
  model: ModelConfiguration,
): CommandOutcome {
  const { adapter, model: name } = command;
  const present = getOwnEntry(model.adapters, adapter);
  if (present === undefined) {
    return err(
      `The adapter "${adapter}" on "${name}" is not served. Use serve adapter ${adapter} on ${name} version … first.`,
    );
  }
  const adapters = { ...model.adapters };
  draft.models[name] = { ...model, adapters };
  if (command.kind === 'stop-serving-adapter') {
    delete adapters[adapter];
    return ok(`adapter ${adapter} on ${name} is no longer served`);
  }
  adapters[adapter] = { version: command.version };
  return ok(
    `adapter ${adapter} on ${name} rolls from version ${present.version} to ${command.version}`,
  );
}
