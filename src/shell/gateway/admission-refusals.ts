/** Refusals for want of room: the time to come back, the line in the log, the count and the answer. */
import { RetryLine } from '../../core/admission/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import { type AdmissionCheck, admissionLogFields } from './admission-check.js';
import type { Exchange } from './exchange.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { GatewayLog } from './request-log.js';
import type { TimerService } from './timer-service.js';

/** Another daemon takes a request at once. */
const STOPPING_RETRY_AFTER_MS = 50;

/** What refusals are told to. */
export interface AdmissionRefusalsOptions {
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
  readonly metrics: Pick<GatewayMetrics, 'recordCapacityRefusal'>;
}

/** Why a request is refused. */
export interface AdmissionRefusal {
  readonly reason: string;
  /** Until there would be room for it. */
  readonly roomInMs: number;
  readonly waitedMs: number;
  /** Requests of its lane that wait. */
  readonly behind: number;
}

/** Refuses requests; callers of one lane are told to come back one after the other. */
export class AdmissionRefusals {
  readonly #options: AdmissionRefusalsOptions;
  readonly #retries = new Map<string, RetryLine>();

  constructor(options: AdmissionRefusalsOptions) {
    this.#options = options;
  }

  refuse(exchange: Exchange, ask: AdmissionCheck, refusal: AdmissionRefusal): void {
    const { reason, roomInMs, waitedMs, behind } = refusal;
    const retryAfterMs = this.#retryLine(ask.lane).promise({
      nowMs: this.#options.timers.nowMs(),
      roomInMs,
      spacingMs: ask.spacingMs,
      mostMs: exchange.remainingMs(),
      entropy: Math.random(),
    });
    this.#options.log.write(GATEWAY_EVENTS.requestTurnedAway, {
      ...admissionLogFields(exchange, ask),
      reason,
      roomInMs: Math.round(roomInMs),
      retryAfterMs: Math.round(retryAfterMs),
      waitedMs: Math.round(waitedMs),
      behind,
    });
    this.#options.metrics.recordCapacityRefusal(reason, exchange.options.rank);
    exchange.refuse('no server is expected to answer in time', retryAfterMs);
  }

  /** This daemon stops: another one takes the request. */
  refuseStopping(exchange: Exchange, ask: AdmissionCheck): void {
    this.#options.log.write(GATEWAY_EVENTS.requestTurnedAway, {
      ...admissionLogFields(exchange, ask),
      reason: 'stopping',
      retryAfterMs: STOPPING_RETRY_AFTER_MS,
    });
    this.#options.metrics.recordCapacityRefusal('stopping', exchange.options.rank);
    exchange.refuse('this daemon stops before there is room', STOPPING_RETRY_AFTER_MS);
  }

  #retryLine(lane: string): RetryLine {
    const known = this.#retries.get(lane);
    if (known !== undefined) return known;
    const created = new RetryLine();
    this.#retries.set(lane, created);
    return created;
  }
}
