/** Gauges of a gateway, read when the metrics are scraped. */
import type { CapacitySummary } from '../../core/capacity/index.js';
import type { AdmissionGate } from './admission-gate.js';
import type { BackendConnections } from './backend-connections.js';
import type { CallerListener } from './caller-listener.js';
import type { CrashGuard } from './crash-guard.js';
import type { Duties } from './duties.js';
import type { FleetFollower } from './fleet-follower.js';
import type { FleetView } from './fleet-view.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { LimitCoordinator } from './limit-coordinator.js';
import type { GatewayLog } from './request-log.js';
import type { TimerService } from './timer-service.js';
import type { WebWork } from './web-work.js';

/** The components that the gauges read. */
export interface GaugeSources {
  readonly fleet: FleetView;
  readonly follower: Pick<
    FleetFollower,
    | 'callsTotal'
    | 'silentMs'
    | 'unreadableServers'
    | 'configurationCheckAgeMs'
    | 'highestVersion'
    | 'isConfigurationUnreadable'
    | 'storeEra'
    | 'unreadTables'
  >;
  readonly callers: Pick<CallerListener, 'inFlight'>;
  readonly connections: Pick<BackendConnections, 'openedTotal'>;
  readonly admission: Pick<AdmissionGate, 'waiting'>;
  readonly limits: Pick<LimitCoordinator, 'grantedServers'>;
  readonly crashes: Pick<CrashGuard, 'quarantined' | 'suspected'>;
  readonly duties: () => Pick<Duties, 'capacitySummaries'>;
  readonly webWork: Pick<WebWork, 'unreadableTotal'>;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'droppedTotal'>;
}

/** Engines with a series of their own, largest deviation first; bounds the cost of the metric. */
const MAX_ENGINE_SERIES = 64;

interface Gauge {
  readonly name: string;
  readonly help: string;
  readonly read: () => number;
}

/** Registers the gauges of a gateway. */
export function addGauges(metrics: GatewayMetrics, sources: GaugeSources): void {
  for (const { name, help, read } of gaugesOf(sources)) {
    metrics.addGauge(`threadfork_gateway_${name}`, help, read);
  }
  metrics.addLabelledGauge(
    'threadfork_gateway_engine_pace',
    'Pace of an engine relative to the typical one of its service, for the engines that deviate most',
    'server',
    () => sources.fleet.paces.largestDeviations(MAX_ENGINE_SERIES),
  );
}

function gaugesOf(sources: GaugeSources): readonly Gauge[] {
  const { fleet, follower, callers, connections, admission, limits, crashes, webWork } = sources;
  const { timers, log } = sources;
  return [
    {
      name: 'configuration_version',
      help: 'Version of the configuration in force',
      read: () => fleet.inForce?.configuration.version ?? 0,
    },
    {
      name: 'configuration_highest_version',
      help: 'Highest configuration version that any daemon is known to have in force',
      read: () => follower.highestVersion,
    },
    {
      name: 'store_era',
      help: 'Era of the store: rises each time the store is restored from an older copy',
      read: () => follower.storeEra,
    },
    {
      name: 'store_tables_unread',
      help: 'Watched tables that need a complete read before their changes can be followed',
      read: () => follower.unreadTables,
    },
    {
      name: 'configuration_look_age_ms',
      help: 'Age of the last check for a newer configuration, by this daemon or its relay',
      read: () => follower.configurationCheckAgeMs(),
    },
    {
      name: 'configuration_unreadable',
      help: 'Whether the newest configuration cannot be read, so that an older one stays in force',
      read: () => (follower.isConfigurationUnreadable ? 1 : 0),
    },
    { name: 'store_calls', help: 'Calls to the store', read: () => follower.callsTotal },
    {
      name: 'store_silent_ms',
      help: 'Age of the last answer of the store, for the watched table with the oldest one',
      read: () => follower.silentMs(),
    },
    {
      name: 'server_rows_unreadable',
      help: 'Malformed rows in the list of servers; the servers that they name are not used',
      read: () => follower.unreadableServers,
    },
    {
      name: 'peers',
      help: 'Daemons whose load reports were received recently',
      read: () => fleet.peerLoads.count(timers.nowMs()),
    },
    {
      name: 'fleet_daemons',
      help: 'Daemons in the last list read, including this one; 0 until a list was read',
      read: () => fleet.size.listed ?? 0,
    },
    {
      name: 'engine_wait_busiest_to_mean',
      help: 'Waiting work at the busiest prefill engine, relative to the mean of all; 0 while none waits',
      read: () => fleet.busiestToMeanWait(timers.nowMs()),
    },
    {
      name: 'requests_in_flight',
      help: 'Requests in progress',
      read: () => callers.inFlight,
    },
    {
      name: 'requests_waiting',
      help: 'Requests that wait for capacity',
      read: () => admission.waiting,
    },
    {
      name: 'connections_opened',
      help: 'Connections opened to backends',
      read: () => connections.openedTotal,
    },
    {
      name: 'server_loads_unreadable',
      help: 'Malformed load reports of web servers since the start',
      read: () => webWork.unreadableTotal,
    },
    {
      name: 'servers_said_leaving',
      help: 'Listed servers that reported to this daemon that they are leaving',
      read: () => fleet.countReporting('leaving', timers.nowMs()),
    },
    {
      name: 'servers_resting',
      help: 'Listed servers that asked this daemon to back off for a time',
      read: () => fleet.countReporting('resting', timers.nowMs()),
    },
    {
      name: 'servers_limited',
      help: 'Servers known to this daemon to limit the requests per second',
      read: () => fleet.limits.count,
    },
    {
      name: 'limit_permits',
      help: 'Requests that this daemon may send now to servers with a limit, by its unused permits',
      read: () => fleet.permits.count(timers.nowMs()),
    },
    {
      name: 'limit_servers_granted',
      help: 'Servers with a limit, or recently with one, whose permits this daemon grants to the fleet',
      read: () => limits.grantedServers,
    },
    {
      name: 'requests_quarantined',
      help: 'Requests that are no longer sent because servers ended while running them',
      read: () => crashes.quarantined,
    },
    {
      name: 'requests_suspected',
      help: 'Requests that ran on a server when it ended, including those cleared since',
      read: () => crashes.suspected,
    },
    { name: 'log_lines_dropped', help: 'Log lines dropped', read: () => log.droppedTotal },
    ...capacityGauges(sources),
  ];
}

/** Gauges summed over all services whose servers are billed by the second; 0 at daemons that order nothing. */
function capacityGauges({ duties }: GaugeSources): readonly Gauge[] {
  const sumOf = (read: (summary: CapacitySummary) => number) => () =>
    duties().capacitySummaries.reduce((sum, summary) => sum + read(summary), 0);
  return [
    {
      name: 'capacity_needed',
      help: 'Servers that the work needs, with headroom for uneven arrivals',
      read: sumOf(({ needed }) => needed),
    },
    {
      name: 'capacity_wanted',
      help: 'Servers wanted, including spare ones',
      read: sumOf(({ wanted }) => wanted),
    },
    {
      name: 'capacity_present',
      help: 'Servers that accept work',
      read: sumOf(({ present }) => present),
    },
    {
      name: 'capacity_coming',
      help: 'Servers ordered or booting',
      read: sumOf(({ coming }) => coming),
    },
  ];
}
