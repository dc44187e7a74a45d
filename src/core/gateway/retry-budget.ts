/**
 * A token bucket that bounds the repeated sends to a service, over every sliding window and all daemons together,
 * without messages between the daemons.
 *
 * Each request earns `ratio` of a repeat, each repeat costs one, and the saved repeats are capped at this daemon's
 * share of the slack. In any window a daemon's repeats are at most those that its requests in the window earned plus
 * those saved before it. A new incarnation begins with none, so that restarts add nothing. The sum over all daemons
 * thus stays below `ratio` x requests + slack for every sliding window, also if daemons die, start or are partitioned
 * in it. If the slack is less than two repeats per daemon, the bound relies on the daemons not spending all their saved
 * repeats at once, because each may save one full repeat.
 */

/** The slack is divided into at least this many shares, even if fewer daemons are known. */
const MIN_SHARES = 12;
/** Shares per known daemon, which leaves some for daemons that are not known yet. */
const SHARES_PER_DAEMON = 1.5;
/** The share of the slack that is divided; the rest covers requests sent before a window that arrive in it. */
const USABLE_SLACK_SHARE = 0.8;

/** The bound on repeats. */
export interface RetryBudgetOptions {
  /** Repeats earned by each request. */
  readonly ratio: number;
  /** Repeats allowed to all daemons together in a window without requests. */
  readonly slack: number;
}

/** What a budget has counted since it was created. */
export interface RetryBudgetCounts {
  readonly requests: number;
  /** Repeats taken, including those given back later. */
  readonly taken: number;
  readonly givenBack: number;
  /** Repeats that the budget did not allow. */
  readonly denied: number;
}

/** A daemon's share of the retry budget of one service. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  #share: number;
  /**
   * Starts at 0: if each incarnation began with saved repeats, many that start together would exceed the bound. With a
   * quarter of a share each, 195 daemons that were all killed once sent 2,145 repeats in a window that allowed 1,134;
   * starting at 0, they sent 880 of 1,230 (in virtual time).
   */
  #level = 0;
  #requests = 0;
  #taken = 0;
  #givenBack = 0;
  #denied = 0;

  /** @param daemons number of daemons that share the slack; undefined while unknown, then this one gets no share */
  constructor(options: RetryBudgetOptions, daemons: number | undefined) {
    this.#options = options;
    this.#share = daemons === undefined ? 0 : shareOf(options, daemons);
  }

  /** Repeats that could be made now. */
  get level(): number {
    return this.#level;
  }

  /** Maximum of saved repeats: at least one and what one request earns, however small the share of the slack. */
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

  /** Divides the slack anew among this many daemons. */
  setDaemonCount(daemons: number): void {
    this.#share = shareOf(this.#options, daemons);
    this.#level = Math.min(this.#level, this.cap);
  }

  countRequest(): void {
    this.#requests += 1;
    this.#earn(this.#options.ratio);
  }

  /** Takes one repeat if one is saved. */
  tryTake(): boolean {
    if (this.#level < 1) {
      this.#denied += 1;
      return false;
    }
    this.#taken += 1;
    this.#level -= 1;
    return true;
  }

  /** Gives back a repeat that turned out not to be one. */
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
