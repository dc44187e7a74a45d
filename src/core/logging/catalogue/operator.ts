/** Log events 5000-5099: the operator API. */
import type { LogEvent } from '../log-event.js';

export const OPERATOR_EVENTS = {
  listening: {
    number: 5000,
    level: 'info',
    message: 'operator API is listening',
    remedy: 'Nothing to do; the fields give the address and the port.',
  },
  changeAnswered: {
    number: 5001,
    level: 'info',
    message: 'operator change answered',
    remedy:
      'If the outcome is unknown, query it with: changes where id = "…". If it is refused, see the code field.',
  },
  callRefused: {
    number: 5002,
    level: 'warn',
    message: 'operator call refused: no valid token',
    remedy:
      'Check who calls from that address; give the caller a token if the calls are legitimate.',
  },
  malformedRequest: {
    number: 5003,
    level: 'debug',
    message: 'operator connection did not send a valid HTTP request in time',
    remedy: 'Nothing to do unless the client is yours; then check what it sends.',
  },
  callFailed: {
    number: 5004,
    level: 'error',
    message: 'operator call failed because of an internal error',
    remedy: 'This is a defect of threadfork; report it with the error field.',
  },
} as const satisfies Record<string, LogEvent>;
