/** A timer service whose time only moves when a test says so. */
import type { TimerService } from '../../../src/shell/gateway/timer-service.js';

/** Short against what tests wait for: changes of lists that are gathered, calls that come again. */
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

  /** Moves time on and calls what falls due, in order. */
  advance(spanMs: number): void {
    const endMs = this.#nowMs + spanMs;
    for (;;) {
      const next = [...this.#pending].sort((left, right) => left.dueMs - right.dueMs)[0];
      if (next === undefined || next.dueMs > endMs) break;
      this.#pending.delete(next);
      this.#nowMs = next.dueMs;
      next.callback();
    }
    this.#nowMs = endMs;
  }

  /** Lets this time and what is on sockets go on together until something is so. */
  async advanceUntil(isSo: () => boolean): Promise<void> {
    while (!isSo()) {
      this.advance(STEP_MS);
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
}
