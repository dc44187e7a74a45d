/** Log events 2000-2099: the callers' HTTP listener. */
import type { LogEvent } from '../log-event.js';

export const CALLER_HTTP_EVENTS = {
  listening: {
    number: 2000,
    level: 'info',
    message: 'listening for callers',
    remedy: 'Nothing to do; the address field gives the address.',
  },
  stoppedAccepting: {
    number: 2001,
    level: 'info',
    message: 'stopped accepting requests from callers',
    remedy: 'Nothing to do; running requests continue until they finish.',
  },
  refusedAtLimit: {
    number: 2002,
    level: 'warn',
    message:
      'requests were refused, or connections of callers closed, at a limit of memory or time',
    remedy:
      'Look at the reason field: docs/CALLER-API.md tells what each limit protects. If the callers are inside them, add daemons or memory, or raise the limit in limits.http.',
  },
} as const satisfies Record<string, LogEvent>;
