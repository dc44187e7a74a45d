/**
 * The gateway's log: numbered events, at most a set number of lines per second. Dropped lines are counted and the count
 * is logged; a slow reader of the log never delays a request.
 */
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { LogEvent, LogFields, LogReserve } from '../../core/logging/log-event.js';
import type { Logger } from '../logging/index.js';
import type { TimerService } from './timer-service.js';

const WINDOW_MS = 1_000;
/** Lines a second beyond the set number. Together they fit what is buffered for a slow reader. */
const RESERVED_LINES_PER_SECOND: Readonly<Record<LogReserve, number>> = {
  'process-life': 50,
  'cut-requests': 500,
};

/** Writes the gateway's log events. */
export class GatewayLog {
  readonly #logger: Logger;
  readonly #timers: TimerService;
  #maxLinesPerSecond: number;
  #isClosed = false;
  #windowStartMs = 0;
  #linesInWindow: Record<LogReserve | 'general', number> = noLines();
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
    const limit = event.reserve ?? 'general';
    if (this.#linesInWindow[limit] >= this.#maxLines(event.reserve)) {
      this.#dropped += 1;
      this.droppedTotal += 1;
      return;
    }
    this.#linesInWindow[limit] += 1;
    this.#logger.write(event, fields);
  }

  /** Hands on all lines, with the count of those dropped since the last one. */
  flush(): void {
    this.#logDropped();
    this.#logger.flush();
  }

  #maxLines(reserve: LogReserve | undefined): number {
    return reserve === undefined ? this.#maxLinesPerSecond : RESERVED_LINES_PER_SECOND[reserve];
  }

  #openWindow(nowMs: number): void {
    this.#windowStartMs = nowMs;
    this.#linesInWindow = noLines();
    this.#logDropped();
  }

  #logDropped(): void {
    if (this.#dropped === 0) return;
    this.#logger.write(GATEWAY_EVENTS.linesDropped, { lines: this.#dropped });
    this.#dropped = 0;
  }
}

function noLines(): Record<LogReserve | 'general', number> {
  return { general: 0, 'process-life': 0, 'cut-requests': 0 };
}
