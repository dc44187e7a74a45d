/** Log events 6100-6199: departures of servers that a daemon learned late, or requests around them. */
import type { LogEvent } from '../log-event.js';

export const DEPARTURE_EVENTS = {
  learnedLate: {
    number: 6100,
    level: 'warn',
    message: 'this daemon may have learned more than half of drainMs late that a server departs',
    remedy:
      'Look at the log of the daemon that relay names, or at the path to the store if it is empty. lastRequest is the last request that was sent there before.',
  },
  answeredLate: {
    number: 6101,
    level: 'warn',
    message:
      'a server answered a request more than half of drainMs after its departure became known; it may have received it late',
    remedy:
      'Compare sentAgoMs and learnedAgoMs. A request that was sent before the departure was known waited in the network or at the server.',
  },
  noticeContradictsList: {
    number: 6102,
    level: 'warn',
    message:
      "another daemon's notice says that a server departs, while the list here is newer and shows it as ready",
    remedy:
      'Nothing to do once: the server may be back. If it repeats, the list that this daemon or its relay has read is wrong.',
  },
  stoodStill: {
    number: 6103,
    level: 'warn',
    message: 'this process stood still; what it knew may be out of date',
    remedy:
      'Requests wait in the meantime. With busyMs near stalledMs the process itself was busy: report the line with the build of event 6000. With far less it was stopped or got no processor time: give the machine more if it repeats without a planned pause.',
  },
} as const satisfies Record<string, LogEvent>;
