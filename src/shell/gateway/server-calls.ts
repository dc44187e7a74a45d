/**
 * Calls to listed servers: the one place that every call of this daemon to a server passes, whatever it is for. What
 * an answer says of its server is heard here, and nothing is sent to one that has said that it wants nothing.
 */
import type { ServerRecord } from '../../core/gateway/index.js';
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
import type { TimerService } from './timer-service.js';

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
}

/** The call was not made: its server wants none. */
export interface HeldBack {
  readonly kind: 'held-back';
  readonly reason: string;
}

/** What the calls are built from. */
export interface ServerCallsOptions {
  readonly connections: Pick<BackendConnections, 'call'>;
  readonly fleet: Pick<FleetView, 'availability'>;
  readonly codec: Pick<RequestCodec, 'readAvailability'>;
  readonly timers: TimerService;
  readonly metrics: Pick<GatewayMetrics, 'recordToldAvailability' | 'recordHeldBack'>;
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
    const { connections, fleet, timers } = this.#options;
    const { server, purpose, request, ...sent } = call;
    const sentAtMs = timers.nowMs();
    const heldBack = this.#holdBack(call, sentAtMs);
    if (heldBack !== undefined) return heldBack;
    if (isForCaller(purpose)) fleet.availability.noteSent(server, sentAtMs);
    const result = await connections.call({ ...sent, address: server.address });
    if (result.kind === 'answered') this.#hear(call, sentAtMs, result.answer);
    return result;
  }

  /** Whoever chose the server may have done so before it spoke: this is the last look before a connection is used. */
  #holdBack({ server, purpose, request }: ServerCall, nowMs: number): HeldBack | undefined {
    const { fleet, log, metrics } = this.#options;
    const { availability } = fleet;
    // A leaving server still does for this daemon what is no new work; one that rests wants none of its calls.
    const found = isForCaller(purpose)
      ? availability.of(server, nowMs)
      : availability.restOf(server, nowMs);
    if (found === undefined || found.kind === 'open') return undefined;
    const { kind: why, toldAgoMs } = found;
    metrics.recordHeldBack(why);
    const fields = { request, server: server.id, purpose, why, toldAgoMs: Math.round(toldAgoMs) };
    log.write(GATEWAY_EVENTS.callHeldBack, fields);
    return { kind: 'held-back', reason: `the server is ${why}` };
  }

  #hear(
    { server, purpose }: ServerCall,
    sentAtMs: number,
    { status, message }: BackendAnswer,
  ): void {
    const { codec, fleet, timers, log, metrics } = this.#options;
    const said = codec.readAvailability(status, message.headers);
    if (said?.restMs === undefined && isForCaller(purpose)) {
      fleet.availability.noteTaken(server, sentAtMs);
    }
    if (said === undefined) return;
    if (said.unreadable !== '') this.#noteUnreadable(server.id, said.unreadable);
    const toldAt = { nowMs: timers.nowMs(), entropy: Math.random() };
    for (const news of fleet.availability.take(server, said, toldAt)) {
      const fields = { server: server.id, service: server.service, purpose, status };
      metrics.recordToldAvailability(news.kind);
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

  #noteUnreadable(server: string, told: string): void {
    const { timers, log, metrics } = this.#options;
    this.#unreadable += 1;
    metrics.recordToldAvailability('unreadable');
    const nowMs = timers.nowMs();
    if (nowMs - this.#unreadableSaidMs < SAID_AGAIN_MS) return;
    this.#unreadableSaidMs = nowMs;
    const fields = { server, told, unreadable: this.#unreadable };
    log.write(GATEWAY_EVENTS.toldAvailabilityUnreadable, fields);
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
