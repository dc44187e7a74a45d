/**
 * Calls to listed servers: the one place that every call of this daemon to a server passes, whatever it is for, and
 * where what an answer says of its server is heard.
 */
import type { Availability, ServerRecord } from '../../core/gateway/index.js';
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

/** What the calls are built from. */
export interface ServerCallsOptions {
  readonly connections: Pick<BackendConnections, 'call'>;
  readonly fleet: Pick<FleetView, 'availability' | 'candidates'>;
  readonly codec: Pick<RequestCodec, 'readAvailability'>;
  readonly timers: TimerService;
  readonly metrics: Pick<GatewayMetrics, 'recordToldAvailability' | 'recordSentDespite'>;
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

  async call(call: ServerCall): Promise<CallResult> {
    const { connections, fleet, timers } = this.#options;
    const { server, purpose, request, ...rest } = call;
    const availability = fleet.availability.of(server, timers.nowMs());
    if (availability.kind !== 'open') this.#noteSent(call, availability);
    const result = await connections.call({ ...rest, address: server.address });
    if (result.kind === 'answered') this.#hear(call, result.answer);
    return result;
  }

  #hear({ server, purpose }: ServerCall, { status, message }: BackendAnswer): void {
    const { codec, fleet, timers, log, metrics } = this.#options;
    const said = codec.readAvailability(status, message.headers);
    if (said === undefined) return;
    if (said.unreadable !== '') this.#noteUnreadable(server.id, said.unreadable);
    for (const news of fleet.availability.take(server, said, timers.nowMs())) {
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
        case 'open':
          break;
      }
    }
  }

  #noteSent({ server, purpose, request }: ServerCall, availability: Availability): void {
    if (availability.kind === 'open') return;
    const { fleet, timers, log, metrics } = this.#options;
    const nowMs = timers.nowMs();
    const others = fleet
      .candidates(server.service, nowMs)
      .filter((other) => fleet.availability.of(other, nowMs).kind === 'open');
    metrics.recordSentDespite(availability.kind);
    log.write(GATEWAY_EVENTS.sentDespiteWord, {
      request,
      server: server.id,
      purpose,
      despite: availability.kind,
      toldAgoMs: Math.round(availability.toldAgoMs),
      others: others.length,
    });
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
