/**
 * The stop of a gateway: callers are told that it is not ready, the listener closes, running requests end, and what has not
 * ended by then is cut. Log lines tell when each of it happened, and name each request that is cut.
 */
import { Server as NetServer } from 'node:net';
import type { StopTimes } from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import { STOP_EVENTS } from '../../core/logging/catalogue/stops.js';
import { acceptWaiting, socketsRead } from '../http/accept-queue.js';
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
/** A signal is not taken to be older than this share of the grace period: requests would be cut that could have ended. */
const MAX_SIGNAL_AGE_SHARE = 0.5;
/** Requests that a busy machine answers within the margin; each further one moves the end forward, up to a limit. */
const REQUESTS_IN_MARGIN = 200;
const MS_PER_REQUEST = 1;
const MAX_EARLIER_MS = 600;
const STOP_POLL_MS = 50;
/** Callers that send one request after another on a connection pause for less than this. */
const QUIET_MS = 200;
/** Requests that are cut settle by then: what ran for them is aborted, and bodies that were on their way have arrived. */
const SETTLE_MS = 50;
/** Callers have to have taken their answers this long before the grace period ends; the last log lines are written then. */
const DELIVERY_MARGIN_MS = 400;
const DELIVERY_POLL_MS = 10;

/** Dependencies and settings of a stop. */
export interface GatewayStopOptions {
  /** From the signal until the platform kills the process. */
  readonly graceMs: number;
  /** How long ago the signal may have come, as this process stood still or was busy. */
  readonly signalAgeMs: number;
  readonly callers: Pick<
    CallerListener,
    'server' | 'inFlight' | 'openRequests' | 'connections' | 'endRunning' | 'answerLeft'
  >;
  readonly codec: Pick<RequestCodec, 'describe'>;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
  readonly metrics: Pick<GatewayMetrics, 'recordCutByStop'>;
}

/** One stop, which begins as it is created. */
export class GatewayStop {
  readonly #options: GatewayStopOptions;
  /** When the listener closes, and when requests that still run are cut. */
  readonly times: StopTimes;
  readonly #beganAtMs: number;
  readonly #deliveredByMs: number;
  readonly #cut = new Set<OpenRequest>();

  constructor(options: GatewayStopOptions) {
    const { graceMs, signalAgeMs, callers, timers } = options;
    this.#options = options;
    this.#beganAtMs = timers.nowMs();
    const noticeMs = callers.server.listening ? Math.min(NOT_READY_NOTICE_MS, graceMs / 2) : 0;
    const killedAtMs =
      this.#beganAtMs + graceMs - Math.min(signalAgeMs, graceMs * MAX_SIGNAL_AGE_SHARE);
    const cutAtMs = killedAtMs - STOP_MARGIN_MS;
    this.times = {
      listenerClosesAtMs: Math.min(this.#beganAtMs + noticeMs, cutAtMs),
      cutAtMs,
    };
    this.#deliveredByMs = killedAtMs - DELIVERY_MARGIN_MS;
    options.log.write(GATEWAY_EVENTS.stopping, {
      inFlight: callers.inFlight,
      listenerClosesInMs: Math.round(this.times.listenerClosesAtMs - this.#beganAtMs),
      cutsInMs: Math.round(this.times.cutAtMs - this.#beganAtMs),
      signalAgeMs: Math.round(signalAgeMs),
    });
  }

  /** Closes the listener after the notice and resolves once no request is left, or those that are left have to be cut. */
  async waitForRequests(): Promise<void> {
    const { callers, timers } = this.#options;
    const noticeMs = this.times.listenerClosesAtMs - this.#beganAtMs;
    if (noticeMs > 0) await delay(timers, noticeMs);
    await acceptWaiting(callers.server, () => timers.nowMs() < this.times.cutAtMs);
    this.#closeListener();
    await this.#waitUntilQuiet();
  }

  /**
   * Callers that keep their connection send the next request soon after an answer, so with connections open a stop ends only
   * once no request has come for a while.
   */
  async #waitUntilQuiet(): Promise<void> {
    const { callers, timers } = this.#options;
    let quietSinceMs = timers.nowMs();
    let total = callers.openRequests.total;
    while (timers.nowMs() < this.#endsAtMs) {
      const nowMs = timers.nowMs();
      if (callers.inFlight > 0 || callers.openRequests.total > total) quietSinceMs = nowMs;
      total = callers.openRequests.total;
      const isQuiet = nowMs - quietSinceMs >= QUIET_MS || callers.connections.open === 0;
      if (callers.inFlight === 0 && isQuiet) return;
      await delay(timers, Math.min(STOP_POLL_MS, this.#endsAtMs - nowMs));
      await socketsRead();
    }
  }

  /** When the requests that are left are ended: the more there are, the longer it takes to answer them. */
  get #endsAtMs(): number {
    const earlierMs = (this.#options.callers.inFlight - REQUESTS_IN_MARGIN) * MS_PER_REQUEST;
    return this.times.cutAtMs - Math.max(0, Math.min(earlierMs, MAX_EARLIER_MS));
  }

  /**
   * Answers the requests that are left, and resolves once the callers' systems have all answers or time is up. Even where the
   * stop is late, answers get a moment to be written.
   */
  async endRequests(): Promise<void> {
    const { callers, timers } = this.#options;
    if (callers.inFlight === 0) return;
    const running = callers.openRequests.all().filter(({ phase }) => phase !== 'delivering');
    for (const open of running) this.#recordCut(open);
    callers.endRunning();
    await this.#waitForDelivery(timers.nowMs() + SETTLE_MS);
    callers.answerLeft();
    await this.#waitForDelivery(Math.max(timers.nowMs() + DELIVERY_POLL_MS, this.#deliveredByMs));
  }

  /** Names the requests whose answers were not taken in time, and logs the end of the stop. */
  logEnd(): void {
    const { callers, log } = this.#options;
    for (const open of callers.openRequests.all()) this.#recordCut(open);
    log.write(GATEWAY_EVENTS.stopped, {
      inFlight: callers.inFlight,
      cut: this.#cut.size,
      tookMs: this.#elapsedMs(),
    });
  }

  async #waitForDelivery(untilMs: number): Promise<void> {
    const { callers, timers } = this.#options;
    while (callers.inFlight > 0 && timers.nowMs() < untilMs) {
      await delay(timers, Math.min(DELIVERY_POLL_MS, untilMs - timers.nowMs()));
    }
  }

  /**
   * If too few daemons are ready, the platform still sends connections here; closing the listener turns them away. node:http's
   * own close() would also close connections on which a request is on its way, or the rest of an answer.
   */
  #closeListener(): void {
    const { callers, log } = this.#options;
    NetServer.prototype.close.call(callers.server);
    log.write(STOP_EVENTS.listenerClosed, {
      inFlight: callers.inFlight,
      openConnections: callers.connections.open,
      elapsedMs: this.#elapsedMs(),
    });
  }

  #recordCut(open: OpenRequest): void {
    const { codec, timers, log, metrics } = this.#options;
    if (this.#cut.has(open)) return;
    this.#cut.add(open);
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
