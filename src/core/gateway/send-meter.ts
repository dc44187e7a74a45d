/**
 * Counts a request's arrivals at servers as a service's budget for repeats counts them: every arrival
 * beyond the first is a repeat, whether the server ran it, turned it away or broke it off. The first
 * reading of its prompt that a server takes up counts as none.
 *
 * A repeat is reserved before it is sent; what turns out to be none is given back.
 */
import type { RetryBudget } from './retry-budget.js';

/** What a send asks of a server. */
export type SendStep = 'prefill' | 'run';

/** A send under way. */
export interface MeteredSend {
  readonly step: SendStep;
  /** Whether it took a repeat from the budget. */
  readonly isReserved: boolean;
}

/** How a send ended, as far as it is counted. */
export type SendEnd =
  /** Nothing reached the server. */
  | 'not-sent'
  /** The prompt was read. */
  | 'read'
  /** It reached the server, whatever became of it. */
  | 'arrived';

/** The arrivals of one request. */
export class SendMeter {
  #arrivals = 0;
  #hasRead = false;

  /** To be called before a send; undefined where it would be a repeat that the budget has no room for. */
  tryBegin(step: SendStep, budget: RetryBudget): MeteredSend | undefined {
    const isReserved = this.#arrivals > 0;
    if (isReserved && !budget.tryTake()) return undefined;
    this.#arrivals += 1;
    return { step, isReserved };
  }

  /** To be called once for each send that was begun. */
  end(send: MeteredSend, end: SendEnd, budget: RetryBudget): void {
    switch (end) {
      case 'arrived':
        return;
      case 'not-sent':
        this.#uncount(send, budget);
        return;
      case 'read':
        if (!this.#hasRead) this.#uncount(send, budget);
        this.#hasRead = true;
        return;
    }
  }

  #uncount(send: MeteredSend, budget: RetryBudget): void {
    this.#arrivals -= 1;
    if (send.isReserved) budget.giveBack();
  }
}
