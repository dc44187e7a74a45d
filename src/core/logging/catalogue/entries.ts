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
  rowsUnnamed: {
    number: 6211,
    level: 'error',
    message: 'more rows cannot be read than are named one by one',
    remedy:
      'Correct the named rows first, or find out which program writes them; the others are named as these are gone.',
  },
  machineUnusable: {
    number: 6212,
    level: 'error',
    message: 'an entry of the machine list cannot be read; it is passed over',
    remedy: 'Correct what writes the entry; all other machines of the list are used.',
  },
  leaseRowUnreadable: {
    number: 6213,
    level: 'error',
    message: 'a row of a lease cannot be read; nobody takes the lease meanwhile',
    remedy: 'Remove the row, or find out which program writes it; the lease is then taken again.',
  },
} as const satisfies Record<string, LogEvent>;
