/** Takes the values of the fleet gauges from a daemon's state. */
import type { MonotonicMs } from '../core/common/time.js';
import type { DaemonState } from '../core/daemon/index.js';
import { epochOf, holdsAuthority } from '../core/lease/index.js';
import { isPresent } from '../core/membership/index.js';
import type { FleetSample, HeldLease } from '../shell/metrics/index.js';
import type { PeerCounters } from '../shell/peer/index.js';

/** The gauge values at time `now`. */
export function fleetSample(
  state: DaemonState,
  now: MonotonicMs,
  heldBodyBytes: number,
  peers: Pick<PeerCounters, 'bytesSent' | 'bytesReceived'>,
): FleetSample {
  const { configuration, traffic } = state;
  return {
    now,
    requestsInFlight: traffic.requests.activeCount,
    requestsWaiting: traffic.admission.waiting,
    heldBodyBytes,
    peerBytesSent: peers.bytesSent,
    peerBytesReceived: peers.bytesReceived,
    configurationVersion: configuration.inForce?.version ?? 0,
    highestConfigurationVersion: configuration.highestVersion,
    engines: [...state.digest.views.values()],
    leases: heldLeases(state, now),
    daemonsPresent: [...state.membership.members.values()].filter(isPresent).length,
  };
}

function heldLeases(state: DaemonState, now: MonotonicMs): readonly HeldLease[] {
  const held: HeldLease[] = [];
  for (const { lease } of state.duties.values()) {
    const epoch = epochOf(lease);
    if (epoch !== null && holdsAuthority(lease, now)) {
      held.push({ resource: lease.settings.resource, epoch });
    }
  }
  return held;
}
