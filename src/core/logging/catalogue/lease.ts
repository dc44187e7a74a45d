/** Log events 3200-3299: leases. */
import type { LogEvent } from '../log-event.js';

export const LEASE_EVENTS = {
  acquired: {
    number: 3200,
    level: 'info',
    message: 'lease acquired',
    remedy: 'Nothing to do; this daemon now controls the resource under the epoch stated.',
  },
  deposed: {
    number: 3201,
    level: 'warn',
    message: 'lease lost to another holder',
    remedy:
      'Nothing to do if this daemon was paused, cut off from the network or could not reach the table service; otherwise check for clock drift above the margin.',
  },
  released: {
    number: 3202,
    level: 'info',
    message: 'lease released',
    remedy: 'Nothing to do; another daemon can acquire it at once.',
  },
  storeUnavailable: {
    number: 3203,
    level: 'warn',
    message: 'table service did not answer a call for a lease',
    remedy:
      'Restore the table service. Requests are still served; role changes and model loads wait and resume by themselves.',
  },
  storeRecovered: {
    number: 3204,
    level: 'info',
    message: 'table service answers calls for a lease again',
    remedy: 'Nothing to do.',
  },
} as const satisfies Record<string, LogEvent>;
