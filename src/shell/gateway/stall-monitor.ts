/**
 * Notices when this process has stood still: it was stopped, or got no processor time. A timer that is late shows it, and
 * so does the clock at any other moment: what waited in the sockets meanwhile may be read before any timer fires.
 */
import { DEPARTURE_EVENTS } from '../../core/logging/catalogue/departures.js';
import type { GatewayLog } from './request-log.js';
import type { CancelTimer, TimerService } from './timer-service.js';

const TICK_MS = 100;

/** Dependencies and settings of a `StallMonitor`. */
export interface StallMonitorOptions {
  /** A shorter stall is not reported. */
  readonly minStallMs: number;
  /** Called once for each stall, as soon as it is noticed. */
  readonly onStall: () => void;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** The stalls of one process. */
export class StallMonitor {
  readonly #options: StallMonitorOptions;
  #nextTickMs = Number.POSITIVE_INFINITY;
  #cancelTick: CancelTimer | undefined;

  constructor(options: StallMonitorOptions) {
    this.#options = options;
  }

  start(): void {
    const { timers } = this.#options;
    this.#nextTickMs = timers.nowMs() + TICK_MS;
    this.#cancelTick = timers.after(TICK_MS, () => {
      this.check();
      this.start();
    });
  }

  stop(): void {
    this.#cancelTick?.();
    this.#nextTickMs = Number.POSITIVE_INFINITY;
  }

  /** Reports a stall that has just ended. */
  check(): void {
    const { minStallMs, onStall, timers, log } = this.#options;
    const stalledMs = timers.nowMs() - this.#nextTickMs;
    if (stalledMs < minStallMs) return;
    // The late timer must not report the same stall again.
    this.#nextTickMs = timers.nowMs() + TICK_MS;
    log.write(DEPARTURE_EVENTS.stoodStill, { stalledMs: Math.round(stalledMs) });
    onStall();
  }
}
