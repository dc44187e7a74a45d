/**
 * The fleet's configuration in a run, as the operator writes it to the store: one route moves between two web services,
 * one tenant's key is revoked and restored, and further routes are added and dropped.
 */
import { TABLES } from '../platform/names.js';
import { HOST } from './callers.js';
import { HEALTH_PATH } from './header-names.js';
import type { Change } from './plan.js';
import type { PlatformStore } from './platform-store.js';
import type { ConfigurationVersion, RequestClass, SoakBounds } from './record.js';

/** The service that the model engines belong to. */
export const MODEL = 'model';
/** The routes of web requests lead to one of these services. */
export const WEB_SERVICES = ['web-1', 'web-2'] as const;
const KEYS = [
  { key: 'key-one', tenant: 'one' },
  { key: 'key-two', tenant: 'two' },
];
const REVOCABLE_KEY = { key: 'key-three', tenant: 'three' };
/** All API keys that callers use. */
export const CALLER_KEYS = [...KEYS, REVOCABLE_KEY];
/** The kinds of requests that callers send. */
export const CLASSES: readonly RequestClass[] = [
  webClass('get', 'idempotent', 2, 0.25),
  // The two attempts must have no effect: a non-idempotent request runs at most once, whatever its route allows.
  webClass('post', 'non-idempotent', 2, 0.25),
  {
    name: 'generate',
    pathPrefix: '/generate/',
    kind: 'streaming',
    attempts: 2,
    timeoutMs: 3_000,
    targetLatencyMs: 300,
    isResumable: true,
    share: 0.5,
  },
];
const BOUNDS: Omit<SoakBounds, 'budgetSlack'> = {
  contactMs: 3_000,
  graceMs: 8_000,
  configApplyMs: 2_000,
  drainMs: 2_000,
  lossSlackMs: 200,
  budgetRatio: 0.2,
  budgetWindowMs: 10_000,
};
/** Approximates the slack that users configure: 54 for 7 daemons, 158 for 59, 430 for 195. */
const SLACK_PER_DAEMON = 2.2;
const MIN_SLACK = 50;

/** A route that is added and dropped during a run. Callers do not use it; probes check whether daemons have it. */
interface AddedRoute {
  readonly pathPrefix: string;
  readonly timeoutMs: number;
}

const ADDED_TIMEOUT_MS = 1_000;

/** The bounds for a fleet of the given number of daemons: settings of the daemons and limits of the oracle. */
export function boundsOf(daemons: number): SoakBounds {
  return { ...BOUNDS, budgetSlack: Math.max(MIN_SLACK, daemons * SLACK_PER_DAEMON) };
}

/** Writes versions of the configuration to the store. */
export class Operator {
  readonly versions: ConfigurationVersion[] = [];
  readonly #store: PlatformStore;
  readonly #classes: readonly RequestClass[];
  #isRevoked = false;
  #webService: string = WEB_SERVICES[0];
  #addedRoutes: readonly AddedRoute[] = [];
  #routesAddedTotal = 0;
  #lastDropped: string | undefined;
  #newest: unknown;

  constructor(store: PlatformStore, classes: readonly RequestClass[] = CLASSES) {
    this.#store = store;
    this.#classes = classes;
  }

  change(change: Change): void {
    switch (change) {
      case 'move-route': {
        const [first, second] = WEB_SERVICES;
        this.#webService = this.#webService === first ? second : first;
        break;
      }
      case 'revoke-key':
        this.#isRevoked = !this.#isRevoked;
        break;
      case 'add-route':
        this.#addRoute();
        break;
      case 'drop-route': {
        const [oldest, ...others] = this.#addedRoutes;
        this.#addedRoutes = others;
        this.#lastDropped = oldest?.pathPrefix ?? this.#lastDropped;
        break;
      }
      case 'time-route':
        this.#addedRoutes = this.#addedRoutes.map((route) => ({
          ...route,
          timeoutMs: route.timeoutMs + 1,
        }));
        break;
      case 'idle':
        break;
    }
    this.#write();
  }

  /** Writes the newest version once more; called after the store was restored from an older copy. */
  rewriteNewest(): void {
    if (this.#newest !== undefined) {
      this.#store.put(TABLES.operator, TABLES.configurationKey, this.#newest);
    }
  }

  /** Path prefixes of the newest route and of the route that was dropped last. */
  get recentRoutes(): { readonly added: string | undefined; readonly dropped: string | undefined } {
    return { added: this.#addedRoutes.at(-1)?.pathPrefix, dropped: this.#lastDropped };
  }

  /** Adds a route with a path prefix that no earlier version had. */
  #addRoute(): void {
    this.#routesAddedTotal += 1;
    const pathPrefix = `/added-${this.#routesAddedTotal}/`;
    this.#addedRoutes = [...this.#addedRoutes, { pathPrefix, timeoutMs: ADDED_TIMEOUT_MS }];
  }

  #write(): void {
    const version = (this.versions.at(-1)?.version ?? 0) + 1;
    const serviceOf = new Map(
      this.#classes.map(({ name, kind }) => [
        name,
        kind === 'streaming' ? MODEL : this.#webService,
      ]),
    );
    const keys = this.#isRevoked ? KEYS : CALLER_KEYS;
    const tenantOfKey = new Map(keys.map(({ key, tenant }) => [key, tenant]));
    const document = configurationDocument(
      version,
      this.#classes,
      serviceOf,
      keys,
      this.#addedRoutes,
    );
    const addedRoutes = new Set(this.#addedRoutes.map(({ pathPrefix }) => pathPrefix));
    this.#newest = document;
    this.#store.put(TABLES.operator, TABLES.configurationKey, document);
    this.versions.push({ version, ackMs: performance.now(), serviceOf, tenantOfKey, addedRoutes });
  }
}

function webClass(
  name: string,
  kind: RequestClass['kind'],
  attempts: number,
  share: number,
): RequestClass {
  const timing = { timeoutMs: 1_500, targetLatencyMs: 150 };
  return {
    name,
    pathPrefix: `/${name}/`,
    kind,
    attempts,
    ...timing,
    isResumable: false,
    share,
  };
}

function configurationDocument(
  version: number,
  classes: readonly RequestClass[],
  serviceOf: ReadonlyMap<string, string>,
  keys: readonly { readonly key: string; readonly tenant: string }[],
  addedRoutes: readonly AddedRoute[],
): unknown {
  const engine = {
    slots: 24,
    kvTokens: 400_000,
    kvTokenBytes: 163_840,
    linkMbps: 1_000_000,
    most: 12,
    roleSwitchS: 0.8,
  };
  return {
    version,
    routes: [
      ...classes.map((requestClass) => ({
        name: requestClass.name,
        host: HOST,
        pathPrefix: requestClass.pathPrefix,
        kind: requestClass.kind === 'non-idempotent' ? 'non_idempotent' : requestClass.kind,
        timeoutMs: requestClass.timeoutMs,
        targetLatencyMs: requestClass.targetLatencyMs,
        priority: 1,
        attempts: requestClass.attempts,
        resumable: requestClass.isResumable,
        service: serviceOf.get(requestClass.name),
      })),
      ...addedRoutes.map((route) => ({
        ...route,
        name: route.pathPrefix,
        host: HOST,
        kind: 'idempotent',
        service: WEB_SERVICES[0],
      })),
    ],
    services: [
      { name: MODEL, maxConnections: 1_000, healthPath: HEALTH_PATH, engine },
      ...WEB_SERVICES.map((name) => ({ name, maxConnections: 1_000, healthPath: HEALTH_PATH })),
    ],
    tenants: keys.map(({ key, tenant }) => ({ name: tenant, apiKeys: [key] })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}
