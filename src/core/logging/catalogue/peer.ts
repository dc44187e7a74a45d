/** Log events 4100-4199: messages between daemons. */
import type { LogEvent } from '../log-event.js';

export const PEER_EVENTS = {
  unauthenticated: {
    number: 4100,
    level: 'warn',
    message: 'dropped messages that are not authenticated with the fleet key',
    remedy:
      'Give all daemons the same fleet key; if they have it already, another program sends to the peer address.',
  },
  malformed: {
    number: 4101,
    level: 'warn',
    message: 'dropped messages that are malformed, too large or of another protocol version',
    remedy: 'Run the same version of threadfork on all machines.',
  },
  undelivered: {
    number: 4102,
    level: 'info',
    message: 'dropped messages that could not be sent or accepted',
    remedy:
      'Nothing to do while a daemon is down; otherwise check the network between the machines.',
  },
} as const satisfies Record<string, LogEvent>;
