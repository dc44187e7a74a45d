/** The state of a daemon's reducer. */
import type { DaemonName, Incarnation, PoolName, ZoneName } from '../common/identifiers.js';
import type { MonotonicMs } from '../common/time.js';
import { type ConfigurationState, createConfiguration } from '../configuration/index.js';
import { createDigest, type DigestState } from '../digest/index.js';
import { createMembership, type MembershipState } from '../membership/index.js';
import type { Endpoint, Machine } from '../registry/backend.js';
import type { PoolDuty } from './pool-duty.js';
import { INITIAL_ROLE_PLANNING, type RolePlanning } from './role-planning.js';
import { Traffic } from './traffic.js';

/** The daemon's identity and start-up settings. */
export interface DaemonIdentity {
  readonly name: DaemonName;
  readonly zone: ZoneName;
  /** Increases with each start. */
  readonly incarnation: Incarnation;
  /** Where its peer transport listens. */
  readonly peerEndpoint: Endpoint;
  readonly seeds: readonly Endpoint[];
  readonly maxWaitingPerClass: number;
}

/** Whether the platform's services answer. */
export type StoreHealth = 'reachable' | 'unreachable' | 'unknown';

export interface DaemonState {
  readonly identity: DaemonIdentity;
  readonly membership: MembershipState;
  readonly digest: DigestState;
  readonly configuration: ConfigurationState;
  readonly duties: ReadonlyMap<PoolName, PoolDuty>;
  /** The pools for which this daemon is a candidate; recomputed periodically. */
  readonly candidatePools: ReadonlySet<PoolName>;
  readonly nextCandidacyAt: MonotonicMs;
  readonly rolePlanning: RolePlanning;
  /** Mutable: the reducer updates it in place. */
  readonly traffic: Traffic;
  readonly machines: readonly Machine[];
  /** Whether the machine list has been read at least once since the start. */
  readonly machinesListed: boolean;
  readonly nextMachinesAt: MonotonicMs;
  readonly nextHealthCheckAt: MonotonicMs;
  readonly store: StoreHealth;
  readonly stopping: boolean;
  /** True after `stop-ready` until another request arrives. */
  readonly stopReady: boolean;
}

/** The initial state of a daemon. */
export function createDaemonState(identity: DaemonIdentity): DaemonState {
  const { name, zone, incarnation, peerEndpoint } = identity;
  const self = { name, zone, incarnation, endpoint: peerEndpoint };
  const membership = createMembership(self, identity.seeds);
  const traffic = new Traffic({
    daemon: name,
    incarnation,
    zone,
    maxWaitingPerClass: identity.maxWaitingPerClass,
    membership,
  });
  return {
    identity,
    membership,
    digest: createDigest(name),
    configuration: createConfiguration({ name, endpoint: peerEndpoint }),
    duties: new Map(),
    candidatePools: new Set(),
    nextCandidacyAt: 0,
    rolePlanning: INITIAL_ROLE_PLANNING,
    traffic,
    machines: [],
    machinesListed: false,
    nextMachinesAt: 0,
    nextHealthCheckAt: 0,
    store: 'unknown',
    stopping: false,
    stopReady: false,
  };
}
