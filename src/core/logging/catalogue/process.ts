/** Log events 6200-6299: the life of a gateway's process: its start, its signals, its end. */
import type { LogEvent } from '../log-event.js';

export const PROCESS_EVENTS = {
  processStarted: {
    number: 6200,
    level: 'info',
    reserve: 'process-life',
    message: 'process started; its program is loaded next',
    remedy:
      'Nothing to do. If the next line of this daemon is another 6200, this process ended before it had read its settings: by a signal, by the platform, or because the program of that build is not there.',
  },
  settingsRead: {
    number: 6201,
    level: 'info',
    reserve: 'process-life',
    message: 'settings read; the gateway starts',
    remedy:
      'Nothing to do if event 6000 follows. If 6200 follows instead, the process ended while it started, and standard error says why if it was not a signal.',
  },
  settingsAwaited: {
    number: 6202,
    level: 'error',
    reserve: 'process-life',
    message: 'the settings cannot be used; the process waits until they can',
    remedy:
      'Correct the setting that the line names. The file is read again by itself and at SIGHUP; SIGTERM ends the process.',
  },
  portAwaited: {
    number: 6203,
    level: 'warn',
    reserve: 'process-life',
    message: 'a port cannot be listened on; it is tried again until it can',
    remedy:
      'Find the process that holds the port, or correct the address in the settings and restart. While callers or readiness wait the daemon is not ready; without metrics or peers it serves.',
  },
  portOpened: {
    number: 6204,
    level: 'info',
    reserve: 'process-life',
    message: 'a port that was waited for is listened on',
    remedy: 'Nothing to do; waitedMs is how long it took.',
  },
  signalReceived: {
    number: 6205,
    level: 'info',
    reserve: 'process-life',
    message: 'signal received',
    remedy:
      'Nothing to do: SIGHUP reads the settings again, SIGTERM and SIGINT stop. phase is what the process was doing; during the start a reload is kept until its end.',
  },
  stoppedBeforeStart: {
    number: 6206,
    level: 'info',
    reserve: 'process-life',
    message: 'stopped before the gateway had started',
    remedy: 'Nothing to do.',
  },
  processFailed: {
    number: 6207,
    level: 'error',
    reserve: 'process-life',
    message: 'the start or the stop failed; the process ends',
    remedy: 'Report the fault, the stack and the build of event 6200.',
  },
} as const satisfies Record<string, LogEvent>;
