/**
 * Calls to listed servers: the one place that every call of this daemon to a server passes, whatever it is for. What
 * an answer says of its server is heard here, and nothing is sent to one that has said that it wants nothing.
 */
import type {
  LimitChange,
  LimitReading,
  ReportedLimit,
  SendAvailability,
  ServerRecord,
} from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type {
  BackendAnswer,
  BackendCall,
  BackendConnections,
  CallResult,
} from './backend-connections.js';
import type { FleetView } from './fleet-view.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { RequestCodec } from './ports.js';
import type { GatewayLog } from './request-log.js';
import type { TimerService, WallClock } from './timer-service.js';

/** A server that says something wrongly does so with each answer. */
const SAID_AGAIN_MS = 10_000;

/** What a call is for. */
export type CallPurpose = 'run' | 'prefill' | 'free-memory' | 'cache-news' | 'report' | 'order';

/** One call to a server. */
export interface ServerCall extends Omit<BackendCall, 'address'> {
  readonly server: ServerRecord;
  readonly purpose: CallPurpose;
  /** The attempt that it is part of; empty where it is the daemon's own. */
  readonly request: string;
  /** A permit was taken for it before, where its server names a limit. */
  readonly hasPermit?: boolean;
}

/** The call was not made: its server wants none. */
export interface HeldBack {
  readonly kind: 'held-back';
  readonly reason: string;
}

/** What the calls are built from. */
export interface ServerCallsOptions {
  readonly connections: Pick<BackendConnections, 'call'>;
  readonly fleet: Pick<
    FleetView,
    'availability' | 'availabilityOf' | 'limits' | 'permits' | 'recentSends'
  >;
  /** To be called when an answer changed what is known of its server's limit. */
  readonly onLimitChange: (server: ServerRecord, change: LimitChange, purpose: CallPurpose) => void;
  readonly codec: Pick<RequestCodec, 'readAvailability' | 'readLimit'>;
  readonly timers: TimerService;
  /** The time of day, by which starts of servers are told. */
  readonly wallClock: WallClock;
  readonly metrics: Pick<
    GatewayMetrics,
    'recordReportedAvailability' | 'recordHeldBack' | 'recordCallToLimited'
  >;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** Calls servers and hears what they say of themselves. */
export class ServerCalls {
  readonly #options: ServerCallsOptions;
  #unreadable = 0;
  #unreadableSaidMs = Number.NEGATIVE_INFINITY;

  constructor(options: ServerCallsOptions) {
    this.#options = options;
  }

  async call(call: ServerCall): Promise<CallResult | HeldBack> {
    const { connections, timers } = this.#options;
    const { server, purpose, request, hasPermit = false, ...sent } = call;
    const sentAtMs = timers.nowMs();
    const heldBack = this.#holdBack(call, sentAtMs);
    if (heldBack !== undefined) return heldBack;
    if (isForCaller(purpose)) this.#noteSent(server, hasPermit, sentAtMs);
    const result = await connections.call({ ...sent, address: server.address });
    if (result.kind === 'answered') this.#hear(call, sentAtMs, result.answer);
    return result;
  }

  /** Whoever chose the server may have done so before it spoke: this is the last look before a connection is used. */
  #holdBack(
    { server, purpose, request, hasPermit = false }: ServerCall,
    nowMs: number,
  ): HeldBack | undefined {
    const { fleet, log, metrics } = this.#options;
    const { availability } = fleet;
    // A leaving server still does for this daemon what is no new work; one that rests wants none of its calls.
    const found = isForCaller(purpose)
      ? this.#availabilityOf(server, hasPermit, nowMs)
      : availability.backOffOf(server, nowMs);
    if (found === undefined || found.kind === 'open') return undefined;
    const { kind: why, toldAgoMs } = found;
    metrics.recordHeldBack(why);
    const fields = { request, server: server.id, purpose, why, toldAgoMs: Math.round(toldAgoMs) };
    log.write(GATEWAY_EVENTS.callHeldBack, fields);
    return { kind: 'held-back', reason: `the server is ${why}` };
  }

  #availabilityOf(server: ServerRecord, hasPermit: boolean, nowMs: number): SendAvailability {
    const { fleet } = this.#options;
    return hasPermit ? fleet.availability.of(server, nowMs) : fleet.availabilityOf(server, nowMs);
  }

  #noteSent(server: ServerRecord, hasPermit: boolean, sentAtMs: number): void {
    const { fleet, metrics } = this.#options;
    fleet.availability.recordSent(server, sentAtMs);
    if (fleet.limits.of(server.id) === undefined) {
      fleet.recentSends.record(server.id, sentAtMs);
      return;
    }
    // Whether there is one was looked at just before.
    if (!hasPermit) fleet.permits.take(server.id, sentAtMs);
    metrics.recordCallToLimited();
  }

  #hear(call: ServerCall, sentAtMs: number, answer: BackendAnswer): void {
    const { server, purpose } = call;
    const { status, message } = answer;
    const { codec, fleet, timers, log, metrics, wallClock } = this.#options;
    this.#hearLimit(call, sentAtMs, answer);
    const said = codec.readAvailability(status, message.headers);
    if (said?.backOffMs === undefined && isForCaller(purpose)) {
      fleet.availability.recordAccepted(server, sentAtMs);
    }
    if (said === undefined) return;
    if (said.unreadable !== '') this.#noteUnreadable(server.id, said.unreadable);
    const toldAt = { nowMs: timers.nowMs(), unixMs: wallClock(), entropy: Math.random() };
    for (const news of fleet.availability.recordReport(server, said, toldAt)) {
      const fields = { server: server.id, service: server.service, purpose, status };
      metrics.recordReportedAvailability(news.kind);
      switch (news.kind) {
        case 'leaving':
          log.write(GATEWAY_EVENTS.serverSaidLeaving, { ...fields, listed: server.state });
          break;
        case 'resting':
          log.write(GATEWAY_EVENTS.serverAskedForRest, {
            ...fields,
            restMs: Math.round(news.forMs),
          });
          break;
      }
    }
  }

  #hearLimit(call: ServerCall, sentAtMs: number, { status, message }: BackendAnswer): void {
    const { codec, fleet, timers, onLimitChange } = this.#options;
    const { server, purpose } = call;
    const said = codec.readLimit(status, message.headers);
    if (said.kind === 'unreadable') this.#noteUnreadable(server.id, `limit: ${said.text}`);
    if (!isSureOf(said, call)) return;
    const times = { sentAtMs, nowMs: timers.nowMs() };
    const change = fleet.limits.recordReport(server, said, times);
    if (change !== undefined) onLimitChange(server, change, purpose);
  }

  #noteUnreadable(server: string, told: string): void {
    const { timers, log, metrics } = this.#options;
    this.#unreadable += 1;
    metrics.recordReportedAvailability('unreadable');
    const nowMs = timers.nowMs();
    if (nowMs - this.#unreadableSaidMs < SAID_AGAIN_MS) return;
    this.#unreadableSaidMs = nowMs;
    const fields = { server, told, unreadable: this.#unreadable };
    log.write(GATEWAY_EVENTS.toldAvailabilityUnreadable, fields);
  }
}

/**
 * Any answer of a server may name its limit; that it names none is shown by an answer to this very request alone: on
 * a connection with a fault, another one may come in its place.
 */
function isSureOf(said: LimitReading, { purpose, request }: ServerCall): said is ReportedLimit {
  switch (said.kind) {
    case 'named':
      return true;
    case 'none':
      return isForCaller(purpose) && said.attemptId === request;
    case 'unreadable':
    case 'unknown':
      return false;
  }
}

/** Work of callers, of which a leaving server takes no more. */
function isForCaller(purpose: CallPurpose): boolean {
  switch (purpose) {
    case 'run':
    case 'prefill':
      return true;
    case 'free-memory':
    case 'cache-news':
    case 'report':
    case 'order':
      return false;
  }
}
