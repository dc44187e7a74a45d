/** Log events 3000-3099: the control connections to engines. */
import type { LogEvent } from '../log-event.js';

export const ENGINE_EVENTS = {
  unreachable: {
    number: 3000,
    level: 'warn',
    message: 'engine does not answer with a report',
    remedy:
      'Check the engine and the network to it; it gets no new work until it reports again. Nothing to do if it is being restarted or replaced.',
  },
  reachable: {
    number: 3001,
    level: 'info',
    message: 'engine reports again',
    remedy: 'Nothing to do.',
  },
  otherEngine: {
    number: 3002,
    level: 'error',
    message: 'a different engine answers at this address',
    remedy:
      "Correct the machine list: the name and the address in the engine's row belong to different engines.",
  },
} as const satisfies Record<string, LogEvent>;
