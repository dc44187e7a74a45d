/** Log events 3100-3199: orders to engines and the pool's controller. */
import type { LogEvent } from '../log-event.js';

export const ORDER_EVENTS = {
  drainStarted: {
    number: 3100,
    level: 'info',
    message: 'drain of an engine started for an order',
    remedy: 'Nothing to do; the engine takes no new work until the order is settled.',
  },
  orderSent: {
    number: 3101,
    level: 'info',
    message: 'order sent to a drained engine',
    remedy: 'Nothing to do.',
  },
  orderSettled: {
    number: 3102,
    level: 'info',
    message: 'order settled',
    remedy:
      'Nothing to do if the outcome is done; if it is failed or abandoned, the change is tried again after a back-off. See `explain engine`.',
  },
  takenOver: {
    number: 3103,
    level: 'info',
    message: 'unresolved order taken over from an earlier controller',
    remedy: 'Nothing to do; the controller first asks the engine for the state of the order.',
  },
  outranked: {
    number: 3104,
    level: 'error',
    message: 'engine has seen a higher epoch than the one that this controller holds',
    remedy:
      'Check that the engine belongs to one pool only and that the table service has not lost rows; restart the engine to clear its fence.',
  },
  tableUnavailable: {
    number: 3105,
    level: 'warn',
    message: 'table service did not answer a call for the intents of orders',
    remedy: 'Restore the table service. Orders wait and resume by themselves.',
  },
  engineRestarted: {
    number: 3106,
    level: 'warn',
    message: 'engine restarted during an order',
    remedy:
      "Check the engine's own log; the controller reconciles the engine with its desired state again.",
  },
} as const satisfies Record<string, LogEvent>;
