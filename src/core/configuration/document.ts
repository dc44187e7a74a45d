/**
 * The configuration that operators set: models, adapters, versions, request classes, tenants and
 * shares. One versioned document is in force in the fleet; docs/OPERATING.md explains each key.
 */
import { z } from 'zod';

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'lower-case letters, digits, . _ -');
const share = z.number().positive().max(1);
const weight = z.number().positive().max(1e6);

/** A model's desired version and adapters, and the objective of its role planner. */
const modelSchema = z.strictObject({
  version: name,
  adapters: z.record(name, z.strictObject({ version: name })).default({}),
  /** `goodput` maximizes finished requests; `fewest-changes` minimizes role changes. */
  objective: z.enum(['goodput', 'fewest-changes']).default('goodput'),
});

/** A request class. Lower `priority` numbers are served first; `share` is of fleet capacity. */
export const classSchema = z.strictObject({
  priority: z.int().min(0).max(9),
  share: share.default(1),
  /** The maximum time until a request's first byte, in milliseconds. */
  deadlineMs: z.int().positive().max(86_400_000),
});

/** An owner of API keys. Keys are stored as lower-case hexadecimal SHA-256 digests only. */
const tenantSchema = z.strictObject({
  keyDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'SHA-256 in hexadecimal')).default([]),
  weight: weight.default(1),
  /** The class of requests that do not specify one. */
  class: name,
});

/** A path prefix whose requests are forwarded to the web backends of a service. */
const routeSchema = z.strictObject({
  prefix: z.string().regex(/^\/[A-Za-z0-9/_.-]*$/, 'an absolute path'),
  service: name,
  /** Whether requests other than GET and HEAD may be sent again after a failure. */
  repeatable: z.boolean().default(false),
});

/** An operator's settings for one backend. */
const backendSchema = z.strictObject({
  /** No new work is sent to a drained backend. */
  drained: z.boolean().default(false),
  /** A role set by the operator; the role planner does not change this engine's role. */
  role: z.enum(['prefill', 'decode', 'mixed']).optional(),
});

/** The complete document. */
export const configurationSchema = z.strictObject({
  models: z.record(name, modelSchema).default({}),
  classes: z
    .record(name, classSchema)
    .default({ interactive: { priority: 1, share: 1, deadlineMs: 30_000 } }),
  tenants: z.record(name, tenantSchema).default({}),
  routes: z.array(routeSchema).default([]),
  backends: z.record(name, backendSchema).default({}),
  /** The tenant assigned to unauthenticated callers; null refuses such callers. */
  anonymousTenant: name.nullable().default(null),
});

/** A model's desired state. */
export type ModelConfiguration = z.infer<typeof modelSchema>;
/** A request class. */
export type ClassConfiguration = z.infer<typeof classSchema>;
/** A tenant. */
export type TenantConfiguration = z.infer<typeof tenantSchema>;
/** A web route. */
export type RouteConfiguration = z.infer<typeof routeSchema>;
/** An operator's settings for one backend. */
export type BackendConfiguration = z.infer<typeof backendSchema>;
/** The complete document. */
export type ConfigurationDocument = z.infer<typeof configurationSchema>;

/** A document with the version under which the table service holds it. Versions only increase. */
export interface VersionedConfiguration {
  readonly version: number;
  readonly document: ConfigurationDocument;
}

/** The document in force before any operator has set one. */
export const EMPTY_CONFIGURATION: VersionedConfiguration = {
  version: 0,
  document: configurationSchema.parse({}),
};
