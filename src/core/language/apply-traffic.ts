/** Applies the commands about classes, tenants and routes. */
import { err, ok } from 'neverthrow';
import type {
  ClassConfiguration,
  ConfigurationDocument,
  RouteConfiguration,
} from '../configuration/document.js';
import { type CommandOutcome, getOwnEntry } from './draft.js';
import { formatDuration } from './duration.js';
import type { Command } from './syntax.js';

/** A command about classes, tenants or routes. */
export type TrafficCommand = Extract<
  Command,
  {
    readonly kind:
      | 'set-class'
      | 'set-class-share'
      | 'set-class-priority'
      | 'set-class-deadline'
      | 'remove-class'
      | 'set-tenant'
      | 'remove-tenant'
      | 'set-anonymous-tenant'
      | 'set-route'
      | 'remove-route';
  }
>;

/** Applies one command about classes, tenants or routes. */
export function applyTrafficCommand(
  draft: ConfigurationDocument,
  command: TrafficCommand,
): CommandOutcome {
  switch (command.kind) {
    case 'set-class':
      return setClass(draft, command);
    case 'set-class-share':
      return changeClass(draft, command.className, { share: command.share });
    case 'set-class-priority':
      return changeClass(draft, command.className, { priority: command.priority });
    case 'set-class-deadline':
      return changeClass(draft, command.className, { deadlineMs: command.deadlineMs });
    case 'remove-class':
      return removeClass(draft, command.className);
    case 'set-tenant':
      return setTenant(draft, command);
    case 'remove-tenant':
      return removeTenant(draft, command.tenant);
    case 'set-anonymous-tenant':
      return setAnonymousTenant(draft, command.tenant);
    case 'set-route':
      return setRoute(draft, command);
    case 'remove-route':
      return removeRoute(draft, command.prefix);
  }
}

function withClass(
  draft: ConfigurationDocument,
  name: string,
  value: ClassConfiguration,
): CommandOutcome {
  const deadline = formatDuration(value.deadlineMs);
  draft.classes[name] = value;
  return ok(
    `class ${name} has priority ${value.priority}, share ${value.share} and deadline ${deadline}`,
  );
}

function setClass(
  draft: ConfigurationDocument,
  { className, priority, share, deadlineMs }: Extract<Command, { kind: 'set-class' }>,
): CommandOutcome {
  return withClass(draft, className, { priority, share, deadlineMs });
}

function changeClass(
  draft: ConfigurationDocument,
  name: string,
  change: Partial<ClassConfiguration>,
): CommandOutcome {
  const present = getOwnEntry(draft.classes, name);
  return present === undefined
    ? err(missingClass(name))
    : withClass(draft, name, { ...present, ...change });
}

function removeClass(draft: ConfigurationDocument, name: string): CommandOutcome {
  if (getOwnEntry(draft.classes, name) === undefined) {
    return err(missingClass(name));
  }
  delete draft.classes[name];
  return ok(`class ${name} is removed`);
}

function missingClass(name: string): string {
  return `The class "${name}" does not exist. Use set class ${name} priority … share … deadline … to make it.`;
}

function setTenant(
  draft: ConfigurationDocument,
  command: Extract<Command, { kind: 'set-tenant' }>,
): CommandOutcome {
  const { tenant, className, weight } = command;
  const present = getOwnEntry(draft.tenants, tenant);
  const keyDigests = [...(command.keyDigests ?? present?.keyDigests ?? [])];
  draft.tenants[tenant] = { class: className, weight, keyDigests };
  return ok(
    `tenant ${tenant} has class ${className}, weight ${weight} and ${keyDigests.length} key(s)`,
  );
}

function removeTenant(draft: ConfigurationDocument, tenant: string): CommandOutcome {
  if (getOwnEntry(draft.tenants, tenant) === undefined) {
    return err(
      `The tenant "${tenant}" does not exist. See query config where section = "tenants".`,
    );
  }
  delete draft.tenants[tenant];
  return ok(`tenant ${tenant} is removed`);
}

function setAnonymousTenant(
  draft: ConfigurationDocument,
  anonymousTenant: string | null,
): CommandOutcome {
  const sentence =
    anonymousTenant === null
      ? 'callers without a key are refused'
      : `callers without a key are taken for tenant ${anonymousTenant}`;
  draft.anonymousTenant = anonymousTenant;
  return ok(sentence);
}

/** A route that exists is changed where it stands; a new one comes last. */
function setRoute(
  draft: ConfigurationDocument,
  { prefix, service, repeatable }: Extract<Command, { kind: 'set-route' }>,
): CommandOutcome {
  const route: RouteConfiguration = { prefix, service, repeatable };
  const index = draft.routes.findIndex((present) => present.prefix === prefix);
  draft.routes[index < 0 ? draft.routes.length : index] = route;
  const again = repeatable ? ' and may be sent again' : '';
  return ok(`requests under ${prefix} go to ${service}${again}`);
}

function removeRoute(draft: ConfigurationDocument, prefix: string): CommandOutcome {
  const index = draft.routes.findIndex((route) => route.prefix === prefix);
  if (index < 0) {
    return err(`The route "${prefix}" does not exist. See query config where section = "routes".`);
  }
  draft.routes.splice(index, 1);
  return ok(`requests under ${prefix} are no longer passed on`);
}
