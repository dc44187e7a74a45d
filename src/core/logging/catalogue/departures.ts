/** Log events 6100-6199: servers that departed or joined without a daemon knowing it, and requests around them. */
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
  datagramsLate: {
    number: 6120,
    level: 'warn',
    message:
      'datagrams of another daemon arrive late: delayMs is an upper bound of the time that one was on its way',
    remedy:
      'Look at the links of both machines, and at the processor time of both. As long as it lasts this daemon reads the store itself in place of the digests that are late.',
  },
  datagramsPunctual: {
    number: 6121,
    level: 'info',
    message: 'datagrams of another daemon no longer arrive late',
    remedy: 'Nothing to do. worstMs is the longest delay since event 6120.',
  },
  serversConfirmed: {
    number: 6130,
    level: 'info',
    message:
      'too few daemons answered to know the software version of streams without a record; the list of servers was read from the store instead',
    remedy:
      'Look for daemons that are down or cut off. Where isConfirmed is false, this daemon is cut off from the store as well, and rejects these streams.',
  },
  streamsRecordedLater: {
    number: 6131,
    level: 'info',
    message:
      'streams that began while one version served were recorded at other daemons: another version has joined, or the store has not confirmed for a while that none has',
    remedy:
      'Nothing to do in a release. Otherwise check the path to the store: first events wait for a record until it is back and one version has been known for the life of a stream.',
  },
} as const satisfies Record<string, LogEvent>;
