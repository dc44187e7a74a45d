/**
 * Watches whether the stand-ins themselves keep pace: they share one process, and where that is late the store is slow
 * for every daemon, whatever the plan says.
 */
const LOOK_MS = 100;
/**
 * Later than this they count as disturbed: at 362 ms arrivals were noted up to 1.3 s late, as one passes through the
 * process three times.
 */
const LATE_MS = 100;

/** Told of each span in which this process was late. */
export type NoteLate = (fromMs: number, toMs: number) => void;

/** A watch of this process's own timers. */
export class LagWatch {
  /** The longest that a timer was late. */
  worstMs = 0;
  readonly #noteLate: NoteLate;
  #timer: NodeJS.Timeout | undefined;
  #lastMs = 0;

  constructor(noteLate: NoteLate) {
    this.#noteLate = noteLate;
  }

  start(): void {
    this.#lastMs = performance.now();
    this.#timer = setInterval(() => this.#look(), LOOK_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #look(): void {
    const nowMs = performance.now();
    const lateMs = nowMs - this.#lastMs - LOOK_MS;
    this.worstMs = Math.max(this.worstMs, lateMs);
    if (lateMs > LATE_MS) this.#noteLate(this.#lastMs, nowMs);
    this.#lastMs = nowMs;
  }
}
