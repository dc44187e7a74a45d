/**
 * Counts a request's arrivals at servers as the service's retry budget counts them: every arrival after the first is a
 * repeat, whether the server ran the request, refused it or broke it off. The first time that a server has read the
 * prompt does not count.
 *
 * A repeat is reserved before it is sent, and returned to the budget if it turns out not to count.
 */
import type { RetryBudget } from './retry-budget.js';

/** What a send requests from a server; a forwarded request is sent to a server by another daemon. */
export type SendStep = 'prefill' | 'run' | 'forward';

/** A send in progress. */
export interface MeteredSend {
  readonly step: SendStep;
  /** Whether the send reserved a repeat from the retry budget. */
  readonly isReserved: boolean;
}

/** How a send ended, for counting. */
export type SendEnd =
  /** Nothing reached the server. */
  | 'not-sent'
  /** The prompt was read. */
  | 'read'
  /** The request reached the server, with any other outcome. */
  | 'arrived';

/** The arrivals of one request. */
export class SendMeter {
  #arrivals = 0;
  #hasRead = false;

  /** Must be called before a send; returns undefined if the send would be a repeat that exceeds the budget. */
  tryBegin(step: SendStep, budget: RetryBudget): MeteredSend | undefined {
    // The other daemon does not know that the prompt was prefilled once, so it counts its own prefill as the first one.
    const isPrefilledAgain = step === 'forward' && this.#hasRead;
    const isReserved = this.#arrivals > 0 || isPrefilledAgain;
    if (isReserved && !budget.tryTake()) return undefined;
    this.#arrivals += 1;
    return { step, isReserved };
  }

  /** Must be called once for each send that was begun. */
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
