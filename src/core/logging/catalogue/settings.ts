/** Log events 1100-1199: settings. */
import type { LogEvent } from '../log-event.js';

export const SETTINGS_EVENTS = {
  loaded: {
    number: 1100,
    level: 'info',
    message: 'settings loaded',
    remedy: 'Nothing to do.',
  },
  unauthenticatedOperators: {
    number: 1101,
    level: 'warn',
    message: 'operators may issue commands without a token',
    remedy: 'Set operatorTokens, unless only trusted people can reach the operator address.',
  },
} as const satisfies Record<string, LogEvent>;
