/** How the parts that keep streams at their software version reach other daemons, and which of them keep a record. */
import { type PeerDaemon, type PeerRoster, recordHolders } from '../../core/gateway/index.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { GatewayLog } from './request-log.js';
import type { StreamMessage } from './stream-message-fields.js';
import type { TimerService } from './timer-service.js';

/** What the parts use to reach other daemons and to report. */
export interface StreamPeers {
  readonly daemon: string;
  readonly zone: string;
  /** Undefined where this daemon has no address for peers, and so is alone. */
  readonly roster: Pick<PeerRoster, 'hasList' | 'isLarge' | 'recentPeers'> | undefined;
  readonly send: (peers: readonly PeerDaemon[], message: StreamMessage) => void;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
  readonly metrics: Pick<GatewayMetrics, 'recordStreamRecord' | 'recordResumption'>;
}

/** The other daemons that may have begun streams or keep records of them. */
export function streamPeersOf({
  roster,
  timers,
}: Pick<StreamPeers, 'roster' | 'timers'>): readonly PeerDaemon[] {
  return roster?.recentPeers(timers.nowMs()) ?? [];
}

/** The other daemons that keep the record of a stream. */
export function peersHolding(
  streamKey: string,
  { daemon, zone, roster, timers }: Pick<StreamPeers, 'daemon' | 'zone' | 'roster' | 'timers'>,
): readonly PeerDaemon[] {
  const peers = streamPeersOf({ roster, timers });
  const holders = recordHolders(streamKey, [{ name: daemon, zone }, ...peers]);
  const names = new Set(holders.map(({ name }) => name));
  return peers.filter(({ name }) => names.has(name));
}
