/**
 * The stop of a gateway: callers are told that it is not ready, the listener closes, running requests end, and what has not
 * ended by then is cut. Log lines tell when each of it happened, and name each request that is cut.
 */
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import { STOP_EVENTS } from '../../core/logging/catalogue/stops.js';
import type { CallerListener } from './caller-listener.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { OpenRequest } from './open-requests.js';
import type { RequestCodec } from './ports.js';
import type { GatewayLog } from './request-log.js';
import { delay, type TimerService } from './timer-service.js';

/** The platform probes readiness twice, a second apart, before it stops sending connections. */
const NOT_READY_NOTICE_MS = 2_600;
/** Requests have to end this long before the grace period does. */
const STOP_MARGIN_MS = 700;
const STOP_POLL_MS = 50;

/** Dependencies and settings of a stop. */
export interface GatewayStopOptions {
  /** From the signal until the platform kills the process. */
  readonly graceMs: number;
  readonly callers: Pick<CallerListener, 'server' | 'inFlight' | 'openRequests' | 'connections'>;
  readonly codec: Pick<RequestCodec, 'describe'>;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
  readonly metrics: Pick<GatewayMetrics, 'recordCutByStop'>;
}

/** One stop, which begins as it is created. */
export class GatewayStop {
  readonly #options: GatewayStopOptions;
  readonly #beganAtMs: number;
  readonly #noticeMs: number;
  /** When requests that still run are cut. */
  readonly cutsAtMs: number;

  constructor(options: GatewayStopOptions) {
    const { graceMs, callers, timers } = options;
    this.#options = options;
    this.#beganAtMs = timers.nowMs();
    this.#noticeMs = callers.server.listening ? Math.min(NOT_READY_NOTICE_MS, graceMs / 2) : 0;
    this.cutsAtMs = this.#beganAtMs + graceMs - STOP_MARGIN_MS;
    options.log.write(GATEWAY_EVENTS.stopping, {
      inFlight: callers.inFlight,
      listenerClosesInMs: Math.round(this.#noticeMs),
      cutsInMs: Math.round(this.cutsAtMs - this.#beganAtMs),
    });
  }

  /** Closes the listener after the notice and resolves once no request is left, or those that are left have to be cut. */
  async waitForRequests(): Promise<void> {
    const { callers, timers } = this.#options;
    if (this.#noticeMs > 0) await delay(timers, this.#noticeMs);
    this.#closeListener();
    while (callers.inFlight > 0 && timers.nowMs() < this.cutsAtMs) {
      await delay(timers, STOP_POLL_MS);
    }
  }

  /** Names each request that is left, and logs the end of the stop. */
  logEnd(): void {
    const { callers, log } = this.#options;
    const left = callers.openRequests.all();
    for (const open of left) this.#logCut(open);
    log.write(GATEWAY_EVENTS.stopped, {
      inFlight: callers.inFlight,
      cut: left.length,
      tookMs: this.#elapsedMs(),
    });
  }

  /** If too few daemons are ready, the platform still sends connections here; closing the listener turns them away. */
  #closeListener(): void {
    const { callers, log } = this.#options;
    callers.server.close();
    log.write(STOP_EVENTS.listenerClosed, {
      inFlight: callers.inFlight,
      openConnections: callers.connections.open,
      elapsedMs: this.#elapsedMs(),
    });
  }

  #logCut(open: OpenRequest): void {
    const { codec, timers, log, metrics } = this.#options;
    metrics.recordCutByStop(open.phase);
    log.write(STOP_EVENTS.requestCutByStop, {
      ...open.describe(codec, timers.nowMs()),
      sinceStopMs: this.#elapsedMs(),
      arrivedAfterStopMs: Math.round(open.arrived.arrivedAtMs - this.#beganAtMs),
    });
  }

  #elapsedMs(): number {
    return Math.round(this.#options.timers.nowMs() - this.#beganAtMs);
  }
}
