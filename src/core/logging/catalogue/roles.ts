/** Log events 3300-3399: the role planner. */
import type { LogEvent } from '../log-event.js';

export const ROLE_EVENTS = {
  changePlanned: {
    number: 3300,
    level: 'info',
    message: 'role change planned',
    remedy:
      'Nothing to do; the reason field gives the forecast and the gain. To override the planner, use the command `ask role`.',
  },
} as const satisfies Record<string, LogEvent>;
