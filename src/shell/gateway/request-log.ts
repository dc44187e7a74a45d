/**
 * The gateway's log: numbered events, at most a set number of lines per second. Dropped lines are counted and the count
 * is logged; a slow reader of the log never delays a request.
 */
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { LogEvent, LogFields } from '../../core/logging/log-event.js';
import type { Logger } from '../logging/index.js';
import type { TimerService } from './timer-service.js';

const WINDOW_MS = 1_000;

/** Writes the gateway's log events. */
export class GatewayLog {
  readonly #logger: Logger;
  readonly #timers: TimerService;
  #maxLinesPerSecond: number;
  #isClosed = false;
  #windowStartMs = 0;
  #linesInWindow = 0;
  #dropped = 0;
  /** Lines dropped since the process started. */
  droppedTotal = 0;
  /** Faults of the code since the process started, those in dropped lines included. */
  faultsTotal = 0;

  constructor(logger: Logger, timers: TimerService, maxLinesPerSecond: number) {
    this.#logger = logger;
    this.#timers = timers;
    this.#maxLinesPerSecond = maxLinesPerSecond;
  }

  /** Replaces the limit of lines a second. */
  limitLines(maxLinesPerSecond: number): void {
    this.#maxLinesPerSecond = maxLinesPerSecond;
  }

  /** Takes no lines from now on, as those before are being written at the end of the process. */
  close(): void {
    this.#isClosed = true;
  }

  write(event: LogEvent, fields: LogFields = {}): void {
    if (this.#isClosed) return;
    if (event.number === GATEWAY_EVENTS.internalFault.number) this.faultsTotal += 1;
    const nowMs = this.#timers.nowMs();
    if (nowMs - this.#windowStartMs >= WINDOW_MS) this.#openWindow(nowMs);
    if (this.#linesInWindow >= this.#maxLinesPerSecond) {
      this.#dropped += 1;
      this.droppedTotal += 1;
      return;
    }
    this.#linesInWindow += 1;
    this.#logger.write(event, fields);
  }

  flush(): void {
    this.#logger.flush();
  }

  #openWindow(nowMs: number): void {
    this.#windowStartMs = nowMs;
    this.#linesInWindow = 0;
    if (this.#dropped === 0) return;
    this.#logger.write(GATEWAY_EVENTS.linesDropped, { lines: this.#dropped });
    this.#dropped = 0;
  }
}
