/**
 * The tenants of a configuration, and the API keys by which the requests of each are known. One lookup in a
 * map decides a request, however many tenants there are.
 */
import type { Route, Tenant } from './configuration.js';

/** Whose a request is. */
export type Admission =
  | { readonly kind: 'admitted'; readonly tenant: Tenant | undefined }
  /** Its key is missing, or no tenant has it. */
  | { readonly kind: 'unknown-key' };

/** An index over one configuration's tenants. */
export class TenantTable {
  readonly #byKey = new Map<string, Tenant>();
  /** The priorities that tenants have, the most urgent first. */
  readonly #levels: readonly number[];
  readonly #routeLevels: number;
  readonly #needsKeys: boolean;
  /** Keys that more than one tenant has; the tenant that is listed first is taken. */
  readonly sharedKeys: number;

  /** @param tenants undefined where the configuration has none: no request needs a key */
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
    this.#routeLevels = 1 + routes.reduce((max, { priority }) => Math.max(max, priority), 0);
  }

  /** Whose a request of a route is; a public route takes requests without a key as well. */
  admit(route: Pick<Route, 'isPublic'>, apiKey: string | undefined): Admission {
    const tenant = apiKey === undefined ? undefined : this.#byKey.get(apiKey);
    const isAdmitted = tenant !== undefined || route.isPublic || !this.#needsKeys;
    return isAdmitted ? { kind: 'admitted', tenant } : { kind: 'unknown-key' };
  }

  /** The rank of a request, 0 the most urgent: by its tenant, and among equals by its route. */
  rankOf(tenant: Tenant | undefined, route: Pick<Route, 'priority'>): number {
    const level = tenant === undefined ? 0 : this.#levels.indexOf(levelOf(tenant));
    return Math.max(0, level) * this.#routeLevels + route.priority;
  }
}

function levelOf({ priority }: Tenant): number {
  return priority ?? Number.POSITIVE_INFINITY;
}
