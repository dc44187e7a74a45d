/** Log events 1000-1099: start, stop and internal errors of the daemon. */
import type { LogEvent } from '../log-event.js';

export const DAEMON_EVENTS = {
  started: {
    number: 1000,
    level: 'info',
    message: 'daemon started',
    remedy: 'Nothing to do; the fields give the addresses on which it listens.',
  },
  stopRequested: {
    number: 1001,
    level: 'info',
    message: 'stop requested; finishing running requests',
    remedy:
      'Wait for the running requests; a second signal stops the daemon at once and cuts them off.',
  },
  stopped: {
    number: 1002,
    level: 'info',
    message: 'daemon stopped',
    remedy: 'Nothing to do.',
  },
  stoppedUncleanly: {
    number: 1003,
    level: 'error',
    message: 'daemon stopped before all running requests had finished',
    remedy:
      'If the grace period ran out, raise stopGraceMs in the settings. Event 2106 names each of the requests that running counts.',
  },
  defect: {
    number: 1004,
    level: 'error',
    message: 'daemon stopped because of an internal error',
    remedy: 'Start the daemon again and report the defect with the reason field of this line.',
  },
  reloadIgnored: {
    number: 1005,
    level: 'warn',
    message: 'a reload was requested; the daemon reads its settings only when it starts',
    remedy: 'Restart the daemon for changed settings.',
  },
} as const satisfies Record<string, LogEvent>;
