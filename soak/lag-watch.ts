/**
 * Watches whether the stand-ins themselves keep pace: they share one process, and where that is late the store is slow
 * for every daemon, whatever the plan says.
 */
const POLL_INTERVAL_MS = 100;
/**
 * Later than this they count as disturbed: at 362 ms arrivals were noted up to 1.3 s late, as one passes through the
 * process three times.
 */
const LATE_THRESHOLD_MS = 100;

/** Told of each span in which this process was late. */
export type NoteLate = (fromMs: number, toMs: number) => void;

/** A watch of this process's own timers. */
export class LagWatch {
  /** The longest that a timer was late. */
  worstMs = 0;
  readonly #onLate: NoteLate;
  #timer: NodeJS.Timeout | undefined;
  #lastMs = 0;

  constructor(onLate: NoteLate) {
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
