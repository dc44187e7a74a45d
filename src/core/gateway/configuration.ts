/**
 * The configuration of a gateway: routes by host and path, the services behind them, and limits on what callers may
 * send. An operator writes it to the platform's store; a gateway only reads it.
 */

/** How a route's requests may be run and answered. */
export type RouteKind =
  /** Requests may run more than once. */
  | 'idempotent'
  /** Requests run at most once. */
  | 'non-idempotent'
  /** Requests are answered by a stream of events; they run at most once unless the route is `resumable`. */
  | 'streaming';

/** The share of a route's traffic that a service receives. */
export interface TrafficShare {
  readonly service: string;
  /** Relative weight, not negative. */
  readonly weight: number;
}

/** The services for requests of one host and path prefix, and the bounds on these requests. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether requests without an API key are accepted even if the configuration has tenants. */
  readonly isPublic: boolean;
  /** Whether a broken stream may be resumed at another server after its last event. */
  readonly resumable: boolean;
  /** Maximum time until a request ends. */
  readonly timeoutMs: number;
  /** An answer (for a stream, its first event) within this time counts as in time. */
  readonly targetLatencyMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Maximum number of servers that one request may run on. */
  readonly attempts: number;
  readonly traffic: readonly TrafficShare[];
}

/** Properties of a service's model engines. */
export interface EngineTraits {
  readonly slots: number;
  readonly kvTokens: number;
  readonly kvTokenBytes: number;
  readonly linkMbps: number;
  /** Time for which an engine does no work while it changes its stage, once its running work is done. */
  readonly roleSwitchMs: number;
  /** Long polls for cache events that one engine accepts from all daemons together. */
  readonly maxCacheEventPolls: number;
}

/** Bounds on the number of servers of a service that is billed by the second, and their prices. */
export interface ScalingLimits {
  /** Minimum per zone, spot servers and others together. */
  readonly min: number;
  /** Maximum per zone, spot servers and others together. */
  readonly max: number;
  /** Time from the order until a server accepts work. */
  readonly bootMs: number;
  /** The price of a spot server relative to that of the others; 1 if there are none. */
  readonly spotPrice: number;
  /** The price of a server per second, by zone; its keys are the zones in which the service may run. */
  readonly zonePrices: ReadonlyMap<string, number>;
}

/** A group of interchangeable servers. */
export interface Service {
  readonly name: string;
  /** The path at which its servers tell whether they accept work; undefined if they do not tell. */
  readonly healthPath?: string | undefined;
  /** Undefined for web servers. */
  readonly engine: EngineTraits | undefined;
  /** Undefined if the number of servers is not controlled by the gateways. */
  readonly scaling: ScalingLimits | undefined;
}

/** A customer whose requests are identified by API keys, counted and billed. */
export interface Tenant {
  readonly name: string;
  /** Secrets: they are only compared, never logged or forwarded. */
  readonly apiKeys: readonly string[];
  /** 0 is the most urgent; undefined ranks after all tenants that have a priority. */
  readonly priority: number | undefined;
}

/** Limits on the size of a caller's requests and on the time to send them. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the complete configuration. */
export interface GatewayConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  /** Undefined if requests need no API key. */
  readonly tenants: readonly Tenant[] | undefined;
  readonly limits: CallerLimits;
}

/** Whether a request of this route may be run again on another server. */
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
