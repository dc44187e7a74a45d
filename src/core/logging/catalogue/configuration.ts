/** Log events 4200-4299: the configuration in force and its changes. */
import type { LogEvent } from '../log-event.js';

export const CONFIGURATION_EVENTS = {
  inForce: {
    number: 4200,
    level: 'info',
    message: 'a configuration version is now in force',
    remedy: 'Nothing to do.',
  },
  unusable: {
    number: 4201,
    level: 'error',
    message: 'received a configuration that this daemon cannot use',
    remedy:
      'Run the same version of threadfork on all machines, or repair the stored row; the problem field gives the cause.',
  },
  storeIsBehind: {
    number: 4202,
    level: 'error',
    message: 'the store holds a lower configuration version than the one in force; it is ignored',
    remedy:
      'The store lost writes: apply the configuration again so that its version becomes higher than the one in force.',
  },
  storeUnreadable: {
    number: 4203,
    level: 'warn',
    message: 'the configuration could not be read from the store',
    remedy:
      'Nothing to do on this daemon: it tries again by itself. Check the platform if the failures continue.',
  },
  changeRecorded: {
    number: 4204,
    level: 'info',
    message: 'configuration change recorded',
    remedy: 'Nothing to do.',
  },
  changeAnswered: {
    number: 4205,
    level: 'info',
    message: 'configuration change answered',
    remedy: 'Nothing to do; the operator has received the outcome.',
  },
} as const satisfies Record<string, LogEvent>;
