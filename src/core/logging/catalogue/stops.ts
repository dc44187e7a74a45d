/** Log events 6104-6119: stops of gateways. */
import type { LogEvent } from '../log-event.js';

export const STOP_EVENTS = {
  requestCutByStop: {
    number: 6104,
    level: 'warn',
    reserve: 'cut-requests',
    message: 'a request had not ended when the stop of this daemon had to cut what ran',
    remedy:
      'Read phase, which is what was being done for it, and server. With arrivedAfterStopMs below 0 it came before the stop: raise stopGraceSeconds if streams last longer. Otherwise this daemon took it and could not end it in time: report the line.',
  },
  listenerClosed: {
    number: 6105,
    level: 'info',
    reserve: 'process-life',
    message: 'the listener for callers was closed; open connections go on',
    remedy: 'Nothing to do; event 6002 follows once inFlight requests have ended or are cut.',
  },
} as const satisfies Record<string, LogEvent>;
