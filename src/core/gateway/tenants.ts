/**
 * The tenants of a configuration and the API keys that identify their requests. A request costs one map lookup, however
 * many tenants there are.
 */
import type { Route, Tenant } from './configuration.js';

/** Whether a request is admitted, and for which tenant. */
export type Admission =
  | { readonly kind: 'admitted'; readonly tenant: Tenant | undefined }
  /** The key is missing, or no tenant has it. */
  | { readonly kind: 'unknown-key' };

/** An index over one configuration's tenants. */
export class TenantTable {
  readonly #byKey = new Map<string, Tenant>();
  /** The distinct priorities of the tenants, the most urgent first. */
  readonly #levels: readonly number[];
  readonly #routeLevels: number;
  readonly #needsKeys: boolean;
  /** Number of keys that more than one tenant has; such a key identifies the tenant that is listed first. */
  readonly sharedKeys: number;

  /** @param tenants undefined if the configuration has none; then no request needs a key */
  constructor(tenants: readonly Tenant[] | undefined, routes: readonly Pick<Route, 'priority'>[]) {
    this.#needsKeys = tenants !== undefined;
    let sharedKeys = 0;
    for (const tenant of tenants ?? []) {
      for (const key of tenant.apiKeys) {
        const existing = this.#byKey.get(key);
        if (existing === undefined) this.#byKey.set(key, tenant);
        else if (existing !== tenant) sharedKeys += 1;
      }
    }
    this.sharedKeys = sharedKeys;
    const levels = new Set((tenants ?? []).map(levelOf));
    this.#levels = [...levels].sort((left, right) => left - right);
    this.#routeLevels =
      1 + routes.reduce((highest, { priority }) => Math.max(highest, priority), 0);
  }

  /** Admits a request by its API key; a public route also accepts requests without one. */
  admit(route: Pick<Route, 'isPublic'>, apiKey: string | undefined): Admission {
    const tenant = apiKey === undefined ? undefined : this.#byKey.get(apiKey);
    const isAdmitted = tenant !== undefined || route.isPublic || !this.#needsKeys;
    return isAdmitted ? { kind: 'admitted', tenant } : { kind: 'unknown-key' };
  }

  /** The rank of a request, 0 the most urgent: by the tenant's priority, then by the route's. */
  rankOf(tenant: Tenant | undefined, route: Pick<Route, 'priority'>): number {
    const level = tenant === undefined ? 0 : this.#levels.indexOf(levelOf(tenant));
    return Math.max(0, level) * this.#routeLevels + route.priority;
  }
}

function levelOf({ priority }: Tenant): number {
  return priority ?? Number.POSITIVE_INFINITY;
}
