/**
 * Formats commands in the operator language, and a document as the commands that rebuild it.
 */
import {
  type ConfigurationDocument,
  EMPTY_CONFIGURATION,
  type TenantConfiguration,
} from '../configuration/document.js';
import { formatDuration } from './duration.js';
import type { Command } from './syntax.js';

/** Formats one command; parsing the text gives the same command. */
function formatCommand(command: Command): string {
  switch (command.kind) {
    case 'serve-model': {
      const objective = command.objective === null ? '' : ` objective ${command.objective}`;
      return `serve model ${command.model} version ${command.version}${objective}`;
    }
    case 'serve-adapter':
      return `serve adapter ${command.adapter} on ${command.model} version ${command.version}`;
    case 'stop-serving-model':
      return `stop serving model ${command.model}`;
    case 'stop-serving-adapter':
      return `stop serving adapter ${command.adapter} on ${command.model}`;
    case 'roll-model':
      return `roll model ${command.model} to ${command.version}`;
    case 'roll-adapter':
      return `roll adapter ${command.adapter} on ${command.model} to ${command.version}`;
    case 'set-class':
      return `set class ${command.className} priority ${command.priority} share ${command.share} deadline ${formatDuration(command.deadlineMs)}`;
    case 'set-class-share':
      return `set share of class ${command.className} to ${command.share}`;
    case 'set-class-priority':
      return `set priority of class ${command.className} to ${command.priority}`;
    case 'set-class-deadline':
      return `set deadline of class ${command.className} to ${formatDuration(command.deadlineMs)}`;
    case 'remove-class':
      return `remove class ${command.className}`;
    case 'set-tenant': {
      const digests = (command.keyDigests ?? []).map((digest) => ` key digest ${digest}`).join('');
      return `set tenant ${command.tenant} class ${command.className} weight ${command.weight}${digests}`;
    }
    case 'remove-tenant':
      return `remove tenant ${command.tenant}`;
    case 'set-anonymous-tenant':
      return `set anonymous tenant ${formatAnonymousTenant(command.tenant)}`;
    case 'set-route':
      return `route ${command.prefix} to ${command.service}${command.repeatable ? ' repeatable' : ''}`;
    case 'remove-route':
      return `remove route ${command.prefix}`;
    case 'drain':
      return `drain ${command.backend}`;
    case 'return':
      return `return ${command.backend}`;
    case 'ask-role':
      return `ask role ${command.role} for ${command.engine}`;
    case 'release-role':
      return `release role of ${command.engine}`;
  }
}

/** A tenant named `none` is quoted, as the bare word means no tenant. */
function formatAnonymousTenant(tenant: string | null): string {
  if (tenant === null) {
    return 'none';
  }
  return tenant === 'none' ? '"none"' : tenant;
}

/**
 * Formats a document as one block of commands that rebuilds it from the initial document
 * (`EMPTY_CONFIGURATION`). Backends that are neither drained nor assigned a role are omitted.
 */
export function formatDocumentAsCommands(document: ConfigurationDocument): string {
  const lines = documentCommands(document).map((command) => `  ${formatCommand(command)}`);
  return `begin\n${lines.join(';\n')}\ncommit\n`;
}

function documentCommands(document: ConfigurationDocument): readonly Command[] {
  return [
    ...classCommands(document),
    ...tenantCommands(document),
    ...modelCommands(document),
    ...routeCommands(document),
    ...backendCommands(document),
    { kind: 'set-anonymous-tenant', tenant: document.anonymousTenant },
  ];
}

function classCommands({ classes }: ConfigurationDocument): readonly Command[] {
  const set = Object.entries(classes).map(
    ([className, value]): Command => ({ kind: 'set-class', className, ...value }),
  );
  const removed = Object.keys(EMPTY_CONFIGURATION.document.classes)
    .filter((className) => !Object.hasOwn(classes, className))
    .map((className): Command => ({ kind: 'remove-class', className }));
  return [...set, ...removed];
}

function tenantCommands({ tenants }: ConfigurationDocument): readonly Command[] {
  return Object.entries(tenants).map(([tenant, value]) => tenantCommand(tenant, value));
}

function tenantCommand(tenant: string, value: TenantConfiguration): Command {
  return {
    kind: 'set-tenant',
    tenant,
    className: value.class,
    weight: value.weight,
    keyDigests: value.keyDigests.length === 0 ? null : value.keyDigests,
  };
}

function modelCommands({ models }: ConfigurationDocument): readonly Command[] {
  return Object.entries(models).flatMap(([model, { version, adapters, objective }]) => [
    { kind: 'serve-model', model, version, objective },
    ...Object.entries(adapters).map(
      ([adapter, value]): Command => ({
        kind: 'serve-adapter',
        adapter,
        model,
        version: value.version,
      }),
    ),
  ]);
}

function routeCommands({ routes }: ConfigurationDocument): readonly Command[] {
  return routes.map((route): Command => ({ kind: 'set-route', ...route }));
}

function backendCommands({ backends }: ConfigurationDocument): readonly Command[] {
  return Object.entries(backends).flatMap(([name, { drained, role }]) => {
    const commands: Command[] = [];
    if (drained) {
      commands.push({ kind: 'drain', backend: name });
    }
    if (role !== undefined) {
      commands.push({ kind: 'ask-role', engine: name, role });
    }
    return commands;
  });
}
