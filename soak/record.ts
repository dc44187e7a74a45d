/** What a soak run records of requests, at their callers and at servers; the only input of the oracle. */
import type { CrashingPart, DaemonCut } from './plan.js';
import type { EndCause, ProcessExit } from './process-end.js';
import type { RequestClass } from './request-class.js';
import type { DaemonPort } from './start-fault.js';

export type { RequestClass, RouteKind } from './request-class.js';

/** How a call ended at its caller. */
export type CallEnd =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly stamp: string | undefined;
      readonly body: string;
      readonly isComplete: boolean;
      readonly retryAfterMs: number | undefined;
    }
  /** The connection ended before a complete response head. */
  | { readonly kind: 'closed'; readonly reason: string }
  /** No connection was established, so nothing was sent. */
  | { readonly kind: 'not-connected' }
  /** The caller closed the connection, at its deadline or earlier. */
  | { readonly kind: 'left'; readonly isEarly: boolean };

/** The arrival of a request at a server. */
export interface Arrival {
  readonly atMs: number;
  /** How long its connection had waited until the soak's own process accepted it; the request was sent before. */
  readonly acceptWaitMs: number;
  readonly serverId: string;
  readonly service: string;
  readonly step: 'prefill' | 'run';
  /** Whether the server started the request; false also if it refused it, or while it waits there. */
  isStarted: boolean;
  /** When the server started it; undefined if it did not. */
  startedMs?: number | undefined;
  /** How the request differs from what the caller sent; empty if it does not. */
  problem: string;
  /** When the server's work on it ended, at its completion or when its connection closed. */
  endedMs: number | undefined;
  /** Whether the server itself broke off the response or dropped it. */
  isServerFault: boolean;
  /** Whether the request crashed the server, as each run of the same body does. */
  hasCrashedServer: boolean;
  /** Whether the response reported that the server leaves. */
  reportedLeaving: boolean;
  /** The back-off period that a refusal requested, in ms; undefined if it requested none. */
  requestedBackOffMs: number | undefined;
  /** Whether the response reported a limit in requests per second. */
  reportedLimit: boolean;
  /** Whether the request was sent to another server id, which had the same address before. */
  isMisdirected: boolean;
  /** The stamp of the server's response, which identifies the run. */
  stamp: string | undefined;
}

/** A stream that a caller takes up. */
export interface ResumedStream {
  /** The attempt that brought its first event. */
  readonly streamId: string;
  readonly lastEventId: number;
  /** Of its first event. */
  readonly softwareVersion: string;
}

/** The time in which one boot of an engine served. */
export interface ServingSpan {
  readonly serverId: string;
  readonly softwareVersion: string;
  readonly fromMs: number;
  /** Infinite while it still serves. */
  readonly toMs: number;
}

/** The part of a prompt that crashes servers. */
export interface CallCrashingPart {
  readonly id: string;
  readonly position: CrashingPart['position'];
}

/** One request of a connection that a caller keeps. */
export interface CallConnection {
  /** The caller. */
  readonly session: number;
  /** How many requests the caller had sent on the connection before. */
  readonly earlierRequests: number;
}

/** One attempt of a caller, and the arrivals that it caused at servers. */
export interface CallRecord {
  readonly id: string;
  readonly requestClass: RequestClass;
  readonly daemon: string;
  /** The incarnation of the daemon that was called. */
  readonly incarnation: number;
  readonly tenant: string;
  readonly apiKey: string;
  readonly body: string;
  readonly outputTokens: number;
  /** The number of tokens that it announces; undefined if that is `outputTokens`. */
  readonly announcedTokens?: number | undefined;
  /** The connection of a caller that keeps one; undefined for callers that share connections. */
  readonly connection?: CallConnection | undefined;
  /** The part of its prompt that crashes servers; undefined for a sound request. */
  readonly crashingPart?: CallCrashingPart | undefined;
  /** Undefined for a request that begins anew. */
  readonly resumes?: ResumedStream | undefined;
  /** Whether the caller has sent the same request before. */
  readonly isRetry: boolean;
  readonly sentMs: number;
  readonly deadlineMs: number;
  endedMs: number | undefined;
  end: CallEnd | undefined;
  readonly arrivals: Arrival[];
}

/** What a disturbance affects. */
export type Scope =
  | 'daemon'
  /** A daemon whose process was stopped with SIGSTOP. */
  | 'frozen'
  | 'store'
  | 'server'
  /** The link between all daemons and a server, by the server's name. */
  | 'link'
  /** The soak's own process, which was delayed: the store responds late, and servers record arrivals late. */
  | 'stand-ins';

/** A span in which something was disturbed. */
export interface Disturbance {
  readonly scope: Scope;
  /** The daemon or server; empty for the store and the stand-ins. */
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
  /** Service by request class. */
  readonly serviceOf: ReadonlyMap<string, string>;
  /** Tenant by API key. */
  readonly tenantOfKey: ReadonlyMap<string, string>;
  /** Path prefixes of the routes that are added and dropped during the run. */
  readonly addedRoutes: ReadonlySet<string>;
}

/** A daemon's response that shows whether it has a route. */
export interface RouteProbe {
  readonly daemon: string;
  /** The incarnation of the daemon that was probed. */
  readonly incarnation: number;
  /** Path prefix of the route. */
  readonly path: string;
  readonly sentMs: number;
  readonly endedMs: number;
  readonly hasRoute: boolean;
}

/** A server whose entry states that it leaves. */
export interface DrainNotice {
  readonly serverId: string;
  readonly ackMs: number;
}

/** A span in which a server's responses reported a limit in requests per second, with the changes of that limit. */
export interface LimitNotice {
  readonly serverId: string;
  readonly service: string;
  readonly fromMs: number;
  toMs: number;
  readonly changes: { readonly atMs: number; readonly perSecond: number }[];
}

/** A stage order to an engine. */
export interface OrderRecord {
  readonly serverId: string;
  readonly holder: string;
  readonly fence: number;
  readonly atMs: number;
}

/** A call to the duty API, which one daemon at a time makes. */
export interface DutyRecord {
  readonly path: string;
  readonly holder: string;
  readonly fence: number;
  readonly body: string;
  /** Whether no call to the same path had a higher fence before. */
  readonly isAccepted: boolean;
  readonly atMs: number;
}

/** Everything that a run recorded. */
export interface RunRecord {
  readonly calls: ReadonlyMap<string, CallRecord>;
  /** Descriptions of arrivals whose request id no caller has sent. */
  readonly unasked: readonly string[];
  readonly disturbances: readonly Disturbance[];
  readonly configurations: readonly ConfigurationVersion[];
  readonly probes: readonly RouteProbe[];
  readonly drains: readonly DrainNotice[];
  readonly limits: readonly LimitNotice[];
  readonly orders: readonly OrderRecord[];
  readonly duties: readonly DutyRecord[];
  readonly cuts: readonly CutRecord[];
  readonly skews: readonly SkewRecord[];
  readonly serving: readonly ServingSpan[];
  /** The processes of all daemons. */
  readonly lives: readonly DaemonLife[];
  readonly portChecks: readonly PortCheck[];
  readonly falseReadiness: readonly FalseReadiness[];
  readonly bounds: SoakBounds;
  /** Whether each cut around a stop is judged on its own. */
  readonly hasStrictStops: boolean;
  /** The memory of the machine that each process has to itself; undefined where none is named. */
  readonly machineBytes: number | undefined;
  /** When all daemons were ready and callers began. */
  readonly beginMs: number;
  readonly endMs: number;
}

/** One process of a daemon, from its start to its end. */
export interface DaemonLife {
  readonly daemon: string;
  readonly incarnation: number;
  readonly startedMs: number;
  /** The first signal that asked it to stop. */
  stopMs: number | undefined;
  /** The first SIGKILL. */
  killedMs: number | undefined;
  /** Undefined while it runs. */
  endedMs: number | undefined;
  /** Undefined until all of its output has been read. */
  end: LifeEnd | undefined;
  /** When it was asked whether it is ready, and was. */
  readonly readyMs: number[];
  /** The most memory that it was seen to have had resident at once; 0 if it was not looked at. */
  peakResidentBytes: number;
}

/** How a process ended, and whether the soak had asked for that. */
export interface LifeEnd extends ProcessExit {
  readonly cause: EndCause;
}

/** A daemon said that it was ready while the soak held its port for callers. */
export interface FalseReadiness {
  readonly daemon: string;
  readonly atMs: number;
}

/** The ports of a daemon after the calm end of a run. */
export interface PortCheck {
  readonly daemon: string;
  readonly atMs: number;
  /** Those that its settings name and that it does not use. */
  readonly unused: readonly DaemonPort[];
}

/** A span in which daemons were cut off from all servers. */
export interface CutRecord {
  readonly how: DaemonCut;
  readonly daemons: ReadonlySet<string>;
  readonly fromMs: number;
  readonly toMs: number;
}

/** A span in which most new connections went to one daemon. */
export interface SkewRecord {
  readonly daemon: string;
  readonly fromMs: number;
  readonly toMs: number;
}

/** The bounds that daemons are configured with and judged by. */
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
