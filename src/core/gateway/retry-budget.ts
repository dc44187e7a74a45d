/**
 * Bounds how much more a service is sent than callers asked for, over any window of time and all
 * daemons together, without a message between them: a token bucket.
 *
 * Each request earns a part of a repeat, each repeat takes a whole one, and what is saved up is capped
 * at this daemon's share of the slack. Whatever the window, a daemon's repeats in it are at most what
 * its requests in it earned and what it had saved before. A life begins with nothing, so that no number of
 * lives adds to that. The sum over daemons stays under `ratio` x requests + slack for every sliding window,
 * also when daemons die, start or are cut off in it. Where the slack is less than two repeats a daemon, the
 * bound rests on daemons not spending all that they saved at once: each may save up a whole one.
 */

/** The slack is parted so even where fewer daemons are known. */
const MIN_SHARES = 12;
/** Room for daemons that are not known yet. */
const SHARES_PER_DAEMON = 1.5;
/** Kept back for requests that were sent before a window and arrive in it. */
const USABLE_SLACK_SHARE = 0.8;

/** What the budget is built from. */
export interface RetryBudgetOptions {
  /** Repeats earned by each request. */
  readonly ratio: number;
  /** Repeats that all daemons together are allowed in a window without any request. */
  readonly slack: number;
}

/** What came to a budget since it was created. */
export interface RetryBudgetCounts {
  readonly requests: number;
  /** Repeats that were taken, also those given back later. */
  readonly taken: number;
  readonly givenBack: number;
  /** Repeats that there was no room for. */
  readonly denied: number;
}

/** A daemon's share of one service's repeats. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  #share: number;
  /**
   * A life that begins with more than its requests earned breaks the bound when many begin at once: with a quarter of a
   * share each, 195 lives sent 2,145 repeats of 1,134 in a window, now 880 of 1,230 (virtual time, all killed once).
   */
  #level = 0;
  #requests = 0;
  #taken = 0;
  #givenBack = 0;
  #denied = 0;

  /** @param daemons undefined while it is not known how many share the slack: this one then has no part of it */
  constructor(options: RetryBudgetOptions, daemons: number | undefined) {
    this.#options = options;
    this.#share = daemons === undefined ? 0 : shareOf(options, daemons);
  }

  /** Repeats that could be made now. */
  get level(): number {
    return this.#level;
  }

  /** Repeats that can be saved up: a whole one, and what one request earns, however small the share of the slack. */
  get cap(): number {
    const { ratio } = this.#options;
    return ratio > 0 ? Math.max(1, ratio, this.#share) : this.#share;
  }

  get counts(): RetryBudgetCounts {
    return {
      requests: this.#requests,
      taken: this.#taken,
      givenBack: this.#givenBack,
      denied: this.#denied,
    };
  }

  /** Parts the slack among the daemons there are. */
  setDaemonCount(daemons: number): void {
    this.#share = shareOf(this.#options, daemons);
    this.#level = Math.min(this.#level, this.cap);
  }

  countRequest(): void {
    this.#requests += 1;
    this.#earn(this.#options.ratio);
  }

  /** Takes one repeat if there is one. */
  tryTake(): boolean {
    if (this.#level < 1) {
      this.#denied += 1;
      return false;
    }
    this.#taken += 1;
    this.#level -= 1;
    return true;
  }

  /** Gives back a repeat that turned out to be none. */
  giveBack(): void {
    this.#givenBack += 1;
    this.#earn(1);
  }

  #earn(repeats: number): void {
    this.#level = Math.min(this.cap, this.#level + repeats);
  }
}

function shareOf({ slack }: RetryBudgetOptions, daemons: number): number {
  return (slack * USABLE_SLACK_SHARE) / Math.max(MIN_SHARES, daemons * SHARES_PER_DAEMON);
}
