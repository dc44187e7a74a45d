/**
 * Detects delays of the soak's own process. The simulated store and servers share this process, so when it is delayed the
 * store is slow for every daemon, also without a fault of the plan.
 */
const POLL_INTERVAL_MS = 100;
/**
 * A longer delay counts as a disturbance: with a delay of 362 ms, arrivals were recorded up to 1.3 s late, because a
 * request passes through the process three times.
 */
const LATE_THRESHOLD_MS = 100;

/** Called with each span in which this process was delayed. */
export type OnLate = (fromMs: number, toMs: number) => void;

/** Measures how late the timers of this process fire. */
export class LagMonitor {
  /** The longest delay of a timer. */
  worstMs = 0;
  readonly #onLate: OnLate;
  #timer: NodeJS.Timeout | undefined;
  #lastMs = 0;

  constructor(onLate: OnLate) {
    this.#onLate = onLate;
  }

  start(): void {
    this.#lastMs = performance.now();
    this.#timer = setInterval(() => this.#poll(), POLL_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #poll(): void {
    const nowMs = performance.now();
    const lateMs = nowMs - this.#lastMs - POLL_INTERVAL_MS;
    this.worstMs = Math.max(this.worstMs, lateMs);
    if (lateMs > LATE_THRESHOLD_MS) this.#onLate(this.#lastMs, nowMs);
    this.#lastMs = nowMs;
  }
}
