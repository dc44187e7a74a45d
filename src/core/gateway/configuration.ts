/**
 * The configuration of described requests: routes by host and path, the services behind them and
 * what a caller may send. It is written by an operator elsewhere and only read here.
 */

/** How a route's requests may be run and answered. */
export type RouteKind =
  /** May run more than once. */
  | 'idempotent'
  /** Runs at most once. */
  | 'non-idempotent'
  /** Answered by events; runs at most once unless `resumable`. */
  | 'streaming';

/** One part of a route's traffic. */
export interface TrafficShare {
  readonly service: string;
  /** Relative weight, not negative. */
  readonly weight: number;
}

/** Where requests of one host and path prefix go, and within which bounds. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether requests without an API key are taken, where there are tenants. */
  readonly isPublic: boolean;
  /** Whether a stream may be taken up at another server after its last event. */
  readonly resumable: boolean;
  /** The longest time a request is held. */
  readonly timeoutMs: number;
  /** Within this time an answer (a stream's first event) has its full value. */
  readonly targetLatencyMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** How many servers one request may run on. */
  readonly attempts: number;
  readonly traffic: readonly TrafficShare[];
}

/** What is known of a service's model engines. */
export interface EngineTraits {
  readonly slots: number;
  readonly kvTokens: number;
  readonly kvTokenBytes: number;
  readonly linkMbps: number;
  /** How long an engine is away to change its stage, once its work is done. */
  readonly roleSwitchMs: number;
  /** Held news calls that one engine takes from all daemons together. */
  readonly maxCacheEventPolls: number;
}

/** Between how many servers a zone may have of a service that is paid by the second, and what they cost. */
export interface ScalingLimits {
  /** Of both kinds together, for each zone. */
  readonly min: number;
  readonly max: number;
  /** From the order until a server serves. */
  readonly bootMs: number;
  /** The price of a spot server against the others; 1 where there are none. */
  readonly spotPrice: number;
  /** The price of a second of a server, by zone: the zones in which the service may run. */
  readonly zonePrices: ReadonlyMap<string, number>;
}

/** A group of interchangeable servers. */
export interface Service {
  readonly name: string;
  /** Absent for plain web servers. */
  readonly engine: EngineTraits | undefined;
  /** Undefined where the number of servers is not ordered. */
  readonly scaling: ScalingLimits | undefined;
}

/** Whoever requests are run, counted and billed for. */
export interface Tenant {
  readonly name: string;
  /** Secrets: they are compared, and never logged or sent on. */
  readonly apiKeys: readonly string[];
  /** 0 is the most urgent; undefined goes after all that have one. */
  readonly priority: number | undefined;
}

/** What a caller may send and how long it may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the whole configuration. */
export interface GatewayConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  /** Undefined where requests need no API key. */
  readonly tenants: readonly Tenant[] | undefined;
  readonly limits: CallerLimits;
}

/** Whether a request of this route may run on more than one server. */
export function isRepeatable(route: Route): boolean {
  switch (route.kind) {
    case 'idempotent':
      return true;
    case 'non-idempotent':
      return false;
    case 'streaming':
      return route.resumable;
  }
}
