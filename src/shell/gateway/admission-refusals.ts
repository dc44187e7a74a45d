/** Refusals for lack of capacity: the `Retry-After` time, the log line, the metric and the answer. */
import { RetrySchedule } from '../../core/admission/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import { type AdmissionCheck, admissionLogFields } from './admission-check.js';
import type { Exchange } from './exchange.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { GatewayLog } from './request-log.js';
import { STOPPING_RETRY_AFTER_MS } from './stop-refusal.js';
import type { TimerService } from './timer-service.js';

/** Dependencies of the refusals. */
export interface AdmissionRefusalsOptions {
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
  readonly metrics: Pick<GatewayMetrics, 'recordCapacityRefusal'>;
}

/** Why a request is refused, and the state of its lane. */
export interface AdmissionRefusal {
  readonly reason: string;
  /** Expected time until there is capacity for it. */
  readonly roomInMs: number;
  readonly waitedMs: number;
  /** The number of held requests of its lane. */
  readonly behind: number;
}

/** Refuses requests; the `Retry-After` times of one lane are spaced out, so that its callers come back one after the other. */
export class AdmissionRefusals {
  readonly #options: AdmissionRefusalsOptions;
  readonly #retryLines = new Map<string, RetrySchedule>();

  constructor(options: AdmissionRefusalsOptions) {
    this.#options = options;
  }

  refuse(exchange: Exchange, check: AdmissionCheck, refusal: AdmissionRefusal): void {
    const { reason, roomInMs, waitedMs, behind } = refusal;
    const retryAfterMs = this.#retryLineOf(check.lane).scheduleRetryMs({
      nowMs: this.#options.timers.nowMs(),
      roomInMs,
      spacingMs: check.spacingMs,
      maxMs: exchange.remainingMs(),
      entropy: Math.random(),
    });
    this.#options.log.write(GATEWAY_EVENTS.requestTurnedAway, {
      ...admissionLogFields(exchange, check),
      reason,
      roomInMs: Math.round(roomInMs),
      retryAfterMs: Math.round(retryAfterMs),
      waitedMs: Math.round(waitedMs),
      behind,
    });
    this.#options.metrics.recordCapacityRefusal(reason, exchange.options.rank);
    exchange.refuse('no server is expected to answer in time', retryAfterMs);
  }

  /** Refuses a request because this daemon is stopping; another daemon can take it. */
  refuseStopping(exchange: Exchange, check: AdmissionCheck): void {
    this.#options.log.write(GATEWAY_EVENTS.requestTurnedAway, {
      ...admissionLogFields(exchange, check),
      reason: 'stopping',
      retryAfterMs: STOPPING_RETRY_AFTER_MS,
    });
    this.#options.metrics.recordCapacityRefusal('stopping', exchange.options.rank);
    exchange.refuse('this daemon stops before there is room', STOPPING_RETRY_AFTER_MS);
  }

  #retryLineOf(lane: string): RetrySchedule {
    const existing = this.#retryLines.get(lane);
    if (existing !== undefined) return existing;
    const created = new RetrySchedule();
    this.#retryLines.set(lane, created);
    return created;
  }
}
