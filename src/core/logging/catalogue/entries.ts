/** Log events from 6210: rows of the store that cannot be used, and lists that are long because of them. */
import type { LogEvent } from '../log-event.js';

export const ENTRY_EVENTS = {
  changesTooLong: {
    number: 6210,
    level: 'warn',
    message:
      'more of a watched table has changed than one answer of the store may hold; the complete table is read page by page',
    remedy: 'Find out which program writes many long rows into the table that the line names.',
  },
} as const satisfies Record<string, LogEvent>;
