/**
 * Counts what callers were refused, or closed for, by reason, and logs each reason at most once in a while with the bytes that
 * were held for them.
 */
import { RESOURCE_EVENTS } from '../../core/logging/catalogue/resources.js';
import type { LogEvent } from '../../core/logging/log-event.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { GatewayLog } from './request-log.js';
import type { TimerService } from './timer-service.js';

const LINE_INTERVAL_MS = 10_000;
/** A crowd's first line counts more than its first caller. */
const FIRST_LINE_MS = 100;

/** Why a caller was refused or its connection closed. */
export type CallerRefusal =
  | 'body-timed-out'
  | 'body-evicted'
  | 'pipelined-too-many'
  | 'head-timed-out'
  | 'head-evicted'
  | 'head-too-large'
  | 'answer-unread';

interface Unlogged {
  callers: number;
  heldBytes: number;
  loggedAtMs: number;
}

/** Dependencies of `CallerRefusals`. */
export interface CallerRefusalsOptions {
  readonly timers: TimerService;
  readonly metrics: Pick<GatewayMetrics, 'recordCallerRefusal'>;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** The refusals of one daemon. */
export class CallerRefusals {
  readonly #options: CallerRefusalsOptions;
  readonly #unlogged = new Map<CallerRefusal, Unlogged>();

  constructor(options: CallerRefusalsOptions) {
    this.#options = options;
  }

  /** @param heldBytes memory that was held for the caller */
  record(reason: CallerRefusal, heldBytes: number): void {
    this.#options.metrics.recordCallerRefusal(reason);
    const unlogged = this.#unloggedOf(reason);
    unlogged.callers += 1;
    unlogged.heldBytes += heldBytes;
    if (unlogged.callers === 1) this.#scheduleLine(reason, unlogged);
  }

  #unloggedOf(reason: CallerRefusal): Unlogged {
    const known = this.#unlogged.get(reason);
    if (known !== undefined) return known;
    const first = { callers: 0, heldBytes: 0, loggedAtMs: Number.NEGATIVE_INFINITY };
    this.#unlogged.set(reason, first);
    return first;
  }

  #scheduleLine(reason: CallerRefusal, unlogged: Unlogged): void {
    const { timers, log } = this.#options;
    const dueMs = unlogged.loggedAtMs + LINE_INTERVAL_MS - timers.nowMs();
    timers.after(Math.max(FIRST_LINE_MS, dueMs), () => {
      const { callers, heldBytes } = unlogged;
      log.write(eventOf(reason), { reason, callers, heldBytes });
      unlogged.callers = 0;
      unlogged.heldBytes = 0;
      unlogged.loggedAtMs = timers.nowMs();
    });
  }
}

function eventOf(reason: CallerRefusal): LogEvent {
  switch (reason) {
    case 'body-timed-out':
      return RESOURCE_EVENTS.bodiesTimedOut;
    case 'body-evicted':
      return RESOURCE_EVENTS.bodiesEvicted;
    case 'pipelined-too-many':
      return RESOURCE_EVENTS.pipelinedClosed;
    case 'head-timed-out':
    case 'head-evicted':
    case 'head-too-large':
      return RESOURCE_EVENTS.headsRefused;
    case 'answer-unread':
      return RESOURCE_EVENTS.answersUnread;
  }
}
