/** Indexes the configuration document for look-ups; built once for each version. */
import { createHash } from 'node:crypto';
import type { AdapterName, ModelName, TenantName } from '../../core/common/identifiers.js';
import type {
  ConfigurationDocument,
  RouteConfiguration,
  TenantConfiguration,
  VersionedConfiguration,
} from '../../core/configuration/document.js';

/** The model, and the adapter if any, that a request's `model` field selects. */
export interface ServedModel {
  readonly model: ModelName;
  readonly adapter: AdapterName | null;
}

/** A tenant with its name. */
export interface NamedTenant {
  readonly name: TenantName;
  readonly tenant: TenantConfiguration;
}

/** API keys whose tenants are cached, to avoid hashing a key on each request. */
const MAX_CACHED_KEYS = 10_000;

/** The index of one configuration version. */
export class ConfigurationIndex {
  readonly version: number;
  readonly document: ConfigurationDocument;
  readonly models = new Map<string, ServedModel>();
  readonly #tenantsByDigest = new Map<string, NamedTenant>();
  readonly #cachedTenantsByKey = new Map<string, NamedTenant>();
  readonly #routes: readonly RouteConfiguration[];

  constructor(configuration: VersionedConfiguration) {
    this.version = configuration.version;
    this.document = configuration.document;
    this.#routes = [...this.document.routes].sort((a, b) => b.prefix.length - a.prefix.length);
    this.#indexTenants();
    this.#indexModels();
  }

  /** The tenant of an API key, or undefined. */
  tenantOfKey(key: string): NamedTenant | undefined {
    const cached = this.#cachedTenantsByKey.get(key);
    if (cached !== undefined) return cached;
    const digest = createHash('sha256').update(key).digest('hex');
    const found = this.#tenantsByDigest.get(digest);
    if (found !== undefined && this.#cachedTenantsByKey.size < MAX_CACHED_KEYS) {
      this.#cachedTenantsByKey.set(key, found);
    }
    return found;
  }

  /** The tenant of unauthenticated callers, or undefined when they are refused. */
  anonymousTenant(): NamedTenant | undefined {
    const name = this.document.anonymousTenant;
    if (name === null) return undefined;
    const tenant = this.document.tenants[name];
    return tenant === undefined ? undefined : { name, tenant };
  }

  /** The route with the longest prefix that matches the path at a segment boundary. */
  routeOf(path: string): RouteConfiguration | undefined {
    return this.#routes.find((route) => isPrefix(route.prefix, path));
  }

  #indexTenants(): void {
    for (const [name, tenant] of Object.entries(this.document.tenants)) {
      for (const digest of tenant.keyDigests) this.#tenantsByDigest.set(digest, { name, tenant });
    }
  }

  /** Model names take precedence over adapter names; of equal adapter names the first is used. */
  #indexModels(): void {
    for (const [model, modelConfiguration] of Object.entries(this.document.models)) {
      for (const adapter of Object.keys(modelConfiguration.adapters)) {
        if (!this.models.has(adapter)) this.models.set(adapter, { model, adapter });
      }
    }
    for (const model of Object.keys(this.document.models)) {
      this.models.set(model, { model, adapter: null });
    }
  }
}

function isPrefix(prefix: string, path: string): boolean {
  if (!path.startsWith(prefix)) return false;
  if (prefix.endsWith('/') || path.length === prefix.length) return true;
  return path[prefix.length] === '/';
}
