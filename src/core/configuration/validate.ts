/**
 * Validates a complete configuration document: its shape by schema, then the references between its
 * parts. A document is validated before it is written, so that no invalid one comes into force.
 */
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import { type Fault, refusedNotRun } from '../errors/fault.js';
import { type ConfigurationDocument, configurationSchema } from './document.js';

/** Parses a document of unknown shape, fills in defaults and validates it. */
export function parseDocument(value: unknown): Result<ConfigurationDocument, Fault> {
  const parsed = configurationSchema.safeParse(value);
  if (!parsed.success) {
    return err(documentFault(describeIssues(parsed.error)));
  }
  const [problem] = findCrossReferenceProblems(parsed.data);
  return problem === undefined ? ok(parsed.data) : err(documentFault(problem));
}

/** Validates a complete document. The fault names what is wrong and its remedy. */
export function validateDocument(document: unknown): Result<void, Fault> {
  return parseDocument(document).map(() => undefined);
}

function documentFault(message: string): Fault {
  return refusedNotRun('invalid-command', message);
}

const MAX_ISSUES_NAMED = 3;

function describeIssues(error: z.ZodError): string {
  const named = error.issues.slice(0, MAX_ISSUES_NAMED).map((issue) => {
    const key = issue.path.length === 0 ? 'the document' : issue.path.join('.');
    return `${key}: ${issue.message}`;
  });
  const more = error.issues.length - named.length;
  const suffix = more > 0 ? `; and ${more} more` : '';
  return `The configuration is not valid: ${named.join('; ')}${suffix}. Correct the named keys.`;
}

function findCrossReferenceProblems(document: ConfigurationDocument): readonly string[] {
  return [
    ...tenantProblems(document),
    ...anonymousTenantProblems(document),
    ...keyDigestProblems(document),
    ...adapterProblems(document),
    ...routeProblems(document),
  ];
}

function tenantProblems(document: ConfigurationDocument): readonly string[] {
  return Object.entries(document.tenants)
    .filter(([, tenant]) => !Object.hasOwn(document.classes, tenant.class))
    .map(
      ([name, tenant]) =>
        `The tenant "${name}" names the class "${tenant.class}", which does not exist. Set that class or give the tenant another one.`,
    );
}

function anonymousTenantProblems({
  anonymousTenant,
  tenants,
}: ConfigurationDocument): readonly string[] {
  if (anonymousTenant === null || Object.hasOwn(tenants, anonymousTenant)) {
    return [];
  }
  return [
    `The anonymous tenant "${anonymousTenant}" does not exist. Set that tenant or set the anonymous tenant to none.`,
  ];
}

/** A key must identify one tenant. The message does not contain the digest. */
function keyDigestProblems({ tenants }: ConfigurationDocument): readonly string[] {
  const owners = new Map<string, string>();
  const problems: string[] = [];
  for (const [name, tenant] of Object.entries(tenants)) {
    for (const digest of tenant.keyDigests) {
      const owner = owners.get(digest);
      if (owner !== undefined) {
        problems.push(
          `The tenants "${owner}" and "${name}" state the same key digest twice. Give each key to one tenant, once.`,
        );
      }
      owners.set(digest, name);
    }
  }
  return problems;
}

/** Callers select adapters and models by one name, so each name must be unique among both. */
function adapterProblems({ models }: ConfigurationDocument): readonly string[] {
  const owners = new Map<string, string>();
  const problems: string[] = [];
  for (const [model, { adapters }] of Object.entries(models)) {
    for (const adapter of Object.keys(adapters)) {
      const owner = owners.get(adapter);
      if (owner !== undefined) {
        problems.push(
          `The adapter "${adapter}" is on the models "${owner}" and "${model}". Give one of them another name.`,
        );
      } else if (Object.hasOwn(models, adapter)) {
        problems.push(
          `The adapter "${adapter}" has the name of a model. Give one of them another name.`,
        );
      }
      owners.set(adapter, model);
    }
  }
  return problems;
}

function routeProblems({ routes }: ConfigurationDocument): readonly string[] {
  const prefixes = new Set<string>();
  const problems: string[] = [];
  for (const { prefix } of routes) {
    if (prefixes.has(prefix)) {
      problems.push(`The route "${prefix}" is stated twice. Keep one of them.`);
    }
    prefixes.add(prefix);
  }
  return problems;
}
