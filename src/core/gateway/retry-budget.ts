/**
 * Bounds how much more a service is sent than callers asked for: within each window, repeats stay
 * under a ratio of this daemon's own requests plus a small allowance. Every daemon keeps its own
 * share, so that the sum holds without a word between them, cut off or not.
 */

/** The slack is parted so even where fewer daemons are known. */
const LEAST_SHARES = 24;
const SHARES_OF_DAEMON = 2;

/** What the budget is built from. */
export interface RetryBudgetOptions {
  /** Repeats allowed for each request of the window. */
  readonly ratio: number;
  /** Repeats that all daemons together are allowed without any request. */
  readonly slack: number;
  readonly windowMs: number;
}

/** A daemon's share of one service's repeats. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  #shares = LEAST_SHARES;
  readonly #requestTimesMs: number[] = [];
  readonly #repeatTimesMs: number[] = [];

  constructor(options: RetryBudgetOptions) {
    this.#options = options;
  }

  /** Parts the slack among the daemons there are, with room for as many that are not known yet. */
  setDaemonCount(daemons: number): void {
    this.#shares = Math.max(LEAST_SHARES, daemons * SHARES_OF_DAEMON);
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
    const { ratio, slack } = this.#options;
    return this.#requestTimesMs.length * ratio + slack / this.#shares;
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
