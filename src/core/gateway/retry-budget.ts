/**
 * Bounds how much more a service is sent than callers asked for: within each window, repeats stay
 * under a ratio of this daemon's own requests plus a small allowance. Every daemon keeps its own
 * share, so that the sum holds without a word between them, cut off or not.
 */

/** What the budget is built from. */
export interface RetryBudgetOptions {
  /** Repeats allowed for each request of the window. */
  readonly ratio: number;
  /** Repeats of this daemon that are allowed without any request. */
  readonly allowance: number;
  readonly windowMs: number;
}

/** A daemon's share of one service's repeats. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  readonly #requestTimesMs: number[] = [];
  readonly #repeatTimesMs: number[] = [];

  constructor(options: RetryBudgetOptions) {
    this.#options = options;
  }

  countRequest(nowMs: number): void {
    this.#expire(nowMs);
    this.#requestTimesMs.push(nowMs);
  }

  /** Takes one repeat from the budget if there is one. */
  tryTake(nowMs: number): boolean {
    this.#expire(nowMs);
    if (this.#repeatTimesMs.length + 1 > this.#limit()) return false;
    this.#repeatTimesMs.push(nowMs);
    return true;
  }

  #limit(): number {
    return this.#requestTimesMs.length * this.#options.ratio + this.#options.allowance;
  }

  #expire(nowMs: number): void {
    const oldestMs = nowMs - this.#options.windowMs;
    dropBefore(this.#requestTimesMs, oldestMs);
    dropBefore(this.#repeatTimesMs, oldestMs);
  }
}

function dropBefore(timesMs: number[], oldestMs: number): void {
  let expired = 0;
  while (expired < timesMs.length && (timesMs[expired] ?? 0) < oldestMs) expired += 1;
  if (expired > 0) timesMs.splice(0, expired);
}
