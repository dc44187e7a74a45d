/** Logs dropped messages, at most one line per reason and interval, with the number of drops. */
import { PEER_EVENTS } from '../../core/logging/catalogue/peer.js';
import type { LogEvent, LogFields } from '../../core/logging/log-event.js';
import type { Endpoint } from '../../core/registry/backend.js';
import type { DropReason } from './counters.js';

const MIN_LOG_INTERVAL_MS = 10_000;

const EVENT_OF: Readonly<Record<DropReason, LogEvent>> = {
  unauthenticated: PEER_EVENTS.unauthenticated,
  malformed: PEER_EVENTS.malformed,
  oversize: PEER_EVENTS.malformed,
  'queue-full': PEER_EVENTS.undelivered,
  unreachable: PEER_EVENTS.undelivered,
  'too-many-connections': PEER_EVENTS.undelivered,
};

/** Creates the listener for a transport's `onDropped`. */
export function createDropLog(
  write: (event: LogEvent, fields: LogFields) => void,
  now: () => number = () => performance.now(),
): (reason: DropReason, peer: Endpoint | null) => void {
  const unloggedCounts = new Map<DropReason, number>();
  const loggedAt = new Map<DropReason, number>();
  return (reason, peer) => {
    const count = (unloggedCounts.get(reason) ?? 0) + 1;
    unloggedCounts.set(reason, count);
    if (now() - (loggedAt.get(reason) ?? Number.NEGATIVE_INFINITY) < MIN_LOG_INTERVAL_MS) {
      return;
    }
    loggedAt.set(reason, now());
    unloggedCounts.set(reason, 0);
    const address = peer === null ? null : `${peer.address}:${peer.port}`;
    write(EVENT_OF[reason], { reason, count, peer: address });
  };
}
