/** A timer service whose time moves only when a test advances it. */
import type { TimerService } from '../../../src/shell/gateway/timer-service.js';

/** Short compared with the delays that tests wait for, such as batching of list changes and retries of calls. */
const STEP_MS = 10;

interface Pending {
  readonly dueMs: number;
  readonly callback: () => void;
}

/** Virtual time. */
export class ManualTimers implements TimerService {
  #nowMs = 1_000;
  readonly #pending = new Set<Pending>();

  nowMs(): number {
    return this.#nowMs;
  }

  after(delayMs: number, callback: () => void): () => void {
    const pending: Pending = { dueMs: this.#nowMs + Math.max(0, delayMs), callback };
    this.#pending.add(pending);
    return () => {
      this.#pending.delete(pending);
    };
  }

  /** Advances the time and calls the timers that fall due, in order. */
  advance(spanMs: number): void {
    const endMs = this.#nowMs + spanMs;
    for (;;) {
      const next = [...this.#pending].sort((left, right) => left.dueMs - right.dueMs)[0];
      if (next === undefined || next.dueMs > endMs) break;
      this.#pending.delete(next);
      this.#nowMs = Math.max(this.#nowMs, next.dueMs);
      next.callback();
    }
    this.#nowMs = endMs;
  }

  /** Lets time pass in which the process stands still: overdue timers fire with the next advance. */
  stall(spanMs: number): void {
    this.#nowMs += spanMs;
  }

  /** Advances the time by a span, and lets socket events run meanwhile. */
  async advanceBy(spanMs: number): Promise<void> {
    const endMs = this.#nowMs + spanMs;
    await this.advanceUntil(() => this.#nowMs >= endMs);
  }

  /** Advances the time in steps and lets socket events run in between, until a condition holds. */
  async advanceUntil(isDone: () => boolean): Promise<void> {
    while (!isDone()) {
      this.advance(STEP_MS);
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
}
