/** Log events 2100-2199: requests of callers, from their attempts to their outcome. */
import type { LogEvent } from '../log-event.js';

export const REQUEST_EVENTS = {
  attemptBroken: {
    number: 2100,
    level: 'warn',
    message: 'an attempt failed after its request may have been sent',
    remedy:
      'Check the named backend if this repeats; the sentAgain field says whether the request may be sent again.',
  },
  outcomeUnknown: {
    number: 2101,
    level: 'warn',
    message: 'a request ended with an unknown outcome',
    remedy: 'The work may have run. Check with the backend before running it again.',
  },
  retryBudgetEmpty: {
    number: 2102,
    level: 'warn',
    message: 'a request was not retried because the retry budget is used up',
    remedy: 'Many backends fail at the same time: check the backends, not the budget.',
  },
  claimLost: {
    number: 2103,
    level: 'warn',
    message: 'no answer to the write of an idempotency claim; reading the claim back',
    remedy: 'Nothing to do unless it repeats; then check the table service.',
  },
  claimTakenOver: {
    number: 2104,
    level: 'error',
    message: 'an idempotency claim was changed by another daemon before its outcome was recorded',
    remedy:
      'Other daemons had declared this daemon failed. Check the clocks and the network between the daemons.',
  },
  settlementDelayed: {
    number: 2105,
    level: 'warn',
    message: 'the outcome of an idempotency claim could not be recorded yet; trying again',
    remedy:
      'Until the table service answers again, repeated requests with the same key are answered as still in progress.',
  },
  cutByStop: {
    number: 2106,
    level: 'warn',
    message: 'a request had not ended when its daemon stopped, and was cut',
    remedy:
      'Raise stopGraceMs if requests of that age are usual, and send no second signal while they run. phase and backend tell what was being done for it.',
  },
} as const satisfies Record<string, LogEvent>;
