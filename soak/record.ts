/** What a soak run sees of one request, at its caller and at servers; the oracle judges from this alone. */

export type RouteKind = 'idempotent' | 'non-idempotent' | 'streaming';

/** A kind of request that callers send. */
export interface RequestClass {
  readonly name: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly attempts: number;
  readonly timeoutMs: number;
  readonly targetLatencyMs: number;
  /** Part of all requests. */
  readonly share: number;
}

/** How a call ended at its caller. */
export type CallEnd =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly stamp: string | undefined;
      readonly body: string;
      readonly isWhole: boolean;
      readonly retryAfterMs: number | undefined;
    }
  /** The connection ended without a whole head. */
  | { readonly kind: 'closed'; readonly reason: string }
  /** No connection came up, so nothing was sent. */
  | { readonly kind: 'not-connected' }
  /** The caller gave up: at its deadline, or as it left early. */
  | { readonly kind: 'left'; readonly isEarly: boolean };

/** A request at a server. */
export interface Arrival {
  readonly atMs: number;
  readonly serverId: string;
  readonly service: string;
  readonly step: 'prefill' | 'run';
  /** Whether the server took it up; until then, and where it turned it away, it has not run. */
  isTaken: boolean;
  /** What was wrong with it; empty where it was as the caller sent it. */
  problem: string;
  /** When the server's work on it ended, by itself or with its connection. */
  endedMs: number | undefined;
  /** Whether the server itself broke off, or lost the answer. */
  isServersFault: boolean;
  /** Whether the server ended under it, as under each run of the same body. */
  hasEndedServer: boolean;
  /** Whether the answer said that its server leaves. */
  saidLeaving: boolean;
  /** How long the server asked the daemon for rest, as it turned the request away; undefined where it did not. */
  restAskedMs: number | undefined;
  /** Whether the answer named a limit of requests a second. */
  namedLimit: boolean;
  /** Whether it was meant for another server, which listened there before. */
  isMisdirected: boolean;
  /** The stamp of the answer that the server gave. */
  stamp: string | undefined;
}

/** One call of a caller. */
export interface CallRecord {
  readonly id: string;
  readonly requestClass: RequestClass;
  readonly daemon: string;
  /** The life of the daemon's process that was called. */
  readonly life: number;
  readonly tenant: string;
  readonly apiKey: string;
  readonly body: string;
  readonly outputTokens: number;
  readonly sentMs: number;
  readonly deadlineMs: number;
  endedMs: number | undefined;
  end: CallEnd | undefined;
  readonly arrivals: Arrival[];
}

/** What a disturbance strikes. */
export type Scope =
  | 'daemon'
  /** A daemon's process stood still. */
  | 'frozen'
  | 'store'
  | 'server'
  /** The soak's own process was late: its store answers late, and its servers note arrivals late. */
  | 'stand-ins';

/** A span in which something was disturbed. */
export interface Disturbance {
  readonly scope: Scope;
  /** The daemon or server; empty for the store as a whole. */
  readonly name: string;
  readonly fromMs: number;
  readonly toMs: number;
  /** Whether it was a planned stop of a daemon. */
  readonly isPlanned: boolean;
}

/** A version of the configuration that the store acknowledged. */
export interface ConfigurationVersion {
  readonly version: number;
  readonly ackMs: number;
  /** By class. */
  readonly serviceOf: ReadonlyMap<string, string>;
  /** Keys that are known, with their tenant. */
  readonly tenantOfKey: ReadonlyMap<string, string>;
  /** Prefixes of the routes that come and go. */
  readonly addedRoutes: ReadonlySet<string>;
}

/** A daemon's word on whether it has a route. */
export interface RouteProbe {
  readonly daemon: string;
  /** The life of the daemon's process that was asked. */
  readonly life: number;
  /** The prefix of the route. */
  readonly path: string;
  readonly sentMs: number;
  readonly endedMs: number;
  readonly isThere: boolean;
}

/** A server that said that it leaves. */
export interface DrainNotice {
  readonly serverId: string;
  readonly ackMs: number;
}

/** A span in which a server's answers named a limit of requests a second; it may have changed meanwhile. */
export interface LimitNotice {
  readonly serverId: string;
  readonly service: string;
  readonly fromMs: number;
  toMs: number;
  readonly changes: { readonly atMs: number; readonly perSecond: number }[];
}

/** An order to an engine. */
export interface OrderRecord {
  readonly serverId: string;
  readonly holder: string;
  readonly fence: number;
  readonly atMs: number;
}

/** A call to the platform that is one daemon's duty at a time. */
export interface DutyRecord {
  readonly path: string;
  readonly holder: string;
  readonly fence: number;
  readonly body: string;
  /** Whether its fence was the highest until then. */
  readonly isAccepted: boolean;
  readonly atMs: number;
}

/** Everything that a run saw. */
export interface RunRecord {
  readonly calls: ReadonlyMap<string, CallRecord>;
  /** Arrivals whose id no caller has sent. */
  readonly unasked: readonly string[];
  readonly disturbances: readonly Disturbance[];
  readonly configurations: readonly ConfigurationVersion[];
  readonly probes: readonly RouteProbe[];
  readonly drains: readonly DrainNotice[];
  readonly limits: readonly LimitNotice[];
  readonly orders: readonly OrderRecord[];
  readonly duties: readonly DutyRecord[];
  readonly bounds: SoakBounds;
  readonly endMs: number;
}

/** The bounds that the fleet is set to and judged by. */
export interface SoakBounds {
  readonly contactMs: number;
  readonly graceMs: number;
  readonly configApplyMs: number;
  readonly drainMs: number;
  readonly lossSlackMs: number;
  readonly budgetRatio: number;
  readonly budgetSlack: number;
  readonly budgetWindowMs: number;
}
