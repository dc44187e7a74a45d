/** Log events 6200-6299: the life of a gateway's process: its start, its signals, its end. */
import type { LogEvent } from '../log-event.js';

export const PROCESS_EVENTS = {
  processStarted: {
    number: 6200,
    level: 'info',
    message: 'process started; its program is loaded next',
    remedy:
      'Nothing to do. If the next line of this daemon is another 6200, this process ended before it had read its settings: by a signal, by the platform, or because the program of that build is not there.',
  },
  settingsRead: {
    number: 6201,
    level: 'info',
    message: 'settings read; the gateway starts',
    remedy:
      'Nothing to do if event 6000 follows. If 6200 follows instead, the process ended while it started, and standard error says why if it was not a signal.',
  },
  signalReceived: {
    number: 6205,
    level: 'info',
    message: 'signal received',
    remedy:
      'Nothing to do: SIGHUP reads the settings again, SIGTERM stops. uptimeMs is the time since the process started.',
  },
} as const satisfies Record<string, LogEvent>;
