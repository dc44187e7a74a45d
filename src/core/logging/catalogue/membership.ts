/** Log events 4000-4099: membership of the fleet of daemons. */
import type { LogEvent } from '../log-event.js';

export const MEMBERSHIP_EVENTS = {
  joined: {
    number: 4000,
    level: 'info',
    message: 'daemon joined',
    remedy:
      'Nothing to do; a higher incarnation under a known name means that the daemon restarted.',
  },
  suspected: {
    number: 4001,
    level: 'info',
    message: 'daemon suspected of having failed',
    remedy:
      'Nothing to do; within seconds the daemon either refutes the suspicion or is declared failed.',
  },
  died: {
    number: 4002,
    level: 'warn',
    message: 'daemon declared failed',
    remedy: 'Check the machine and its network; other daemons watch its engines meanwhile.',
  },
  left: {
    number: 4003,
    level: 'info',
    message: 'daemon left the fleet as planned',
    remedy: 'Nothing to do.',
  },
  recovered: {
    number: 4004,
    level: 'info',
    message: 'daemon refuted a suspicion that it had failed',
    remedy: 'If this happens often, the network loses packets or the machine is overloaded.',
  },
  refuted: {
    number: 4005,
    level: 'warn',
    message: 'this daemon refuted a suspicion that it had failed',
    remedy: 'If this happens often, this machine is overloaded or loses packets.',
  },
  nameTaken: {
    number: 4006,
    level: 'error',
    message: 'another daemon uses this name with a higher incarnation',
    remedy:
      'Give each daemon its own name. If only one daemon uses the name, its clock was set back: restart it.',
  },
  paused: {
    number: 4007,
    level: 'warn',
    message: 'this process was paused',
    remedy: 'Check whether the machine was paused or is overloaded.',
  },
} as const satisfies Record<string, LogEvent>;
