/** Gauges of a gateway, read when the metrics are scraped. */
import type { CapacitySummary } from '../../core/capacity/index.js';
import type { MemoryLedger } from '../../core/gateway/index.js';
import type { AdmissionGate } from './admission-gate.js';
import type { BackendConnections } from './backend-connections.js';
import type { CallerListener } from './caller-listener.js';
import type { CrashGuard } from './crash-guard.js';
import type { DatagramDelays } from './datagram-delays.js';
import type { Duties } from './duties.js';
import type { FleetFollower } from './fleet-follower.js';
import type { FleetView } from './fleet-view.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { LimitCoordinator } from './limit-coordinator.js';
import type { GatewayLog } from './request-log.js';
import { openSockets, type ResourceMonitor } from './resource-monitor.js';
import type { ServicePathMonitor } from './service-path-monitor.js';
import type { StreamContinuity } from './stream-continuity.js';
import type { TimerService } from './timer-service.js';
import type { WebWork } from './web-work.js';

/** The components that the gauges read. */
export interface GaugeSources {
  readonly build: string;
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
  readonly callers: Pick<CallerListener, 'inFlight' | 'heldBodies'>;
  readonly memory: Pick<MemoryLedger, 'reserved' | 'unfinishedHeadBytes'>;
  readonly connections: Pick<BackendConnections, 'openedTotal' | 'held'>;
  readonly admission: Pick<AdmissionGate, 'waiting'>;
  readonly limits: Pick<LimitCoordinator, 'grantedServers'>;
  readonly crashes: Pick<CrashGuard, 'counts'>;
  readonly paths: Pick<ServicePathMonitor, 'lostCount'>;
  readonly streams: Pick<StreamContinuity, 'recordCount'>;
  readonly duties: () => Pick<Duties, 'capacitySummaries'>;
  readonly webWork: Pick<WebWork, 'unreadableTotal'>;
  readonly datagramDelays: Pick<DatagramDelays, 'takeWorstMs'>;
  readonly resources: Pick<ResourceMonitor, 'memoryBytes' | 'takeWorstLateMs'>;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'droppedTotal' | 'faultsTotal'>;
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
    'threadfork_gateway_build_info',
    'Always 1; the label identifies the program that runs',
    'build',
    () => new Map([[sources.build, 1]]),
  );
  metrics.addLabelledGauge(
    'threadfork_gateway_memory_bytes',
    'Memory of this process; at heap-limit V8 ends it, heap-used-most is since the start',
    'kind',
    () => sources.resources.memoryBytes(),
  );
  metrics.addLabelledGauge(
    'threadfork_gateway_held_bytes',
    'Bytes that are held until a message is complete, or while a request is in flight',
    'kind',
    () =>
      new Map([
        ['answers', sources.connections.held.bytes],
        ['bodies', sources.callers.heldBodies.bytes],
        ['requests-heap', sources.memory.reserved.heapBytes],
        ['requests-buffers', sources.memory.reserved.bufferBytes],
        ['unfinished-heads', sources.memory.unfinishedHeadBytes],
      ]),
  );
  metrics.addLabelledGauge(
    'threadfork_gateway_held_objects',
    'Objects in the heap that these bytes are kept in, each with some hundred bytes besides its content',
    'kind',
    () =>
      new Map([
        ['answers', sources.connections.held.objects],
        ['bodies', sources.callers.heldBodies.objects],
      ]),
  );
  metrics.addLabelledGauge(
    'threadfork_gateway_engine_pace',
    'Pace of an engine against the usual one of its service, of those that differ most',
    'server',
    () => sources.fleet.paces.largestDeviations(MAX_ENGINE_SERIES),
  );
}

function gaugesOf(sources: GaugeSources): readonly Gauge[] {
  const { fleet, follower, callers, connections, admission, limits, crashes, webWork } = sources;
  const { paths, streams, datagramDelays, resources, timers, log } = sources;
  return [
    {
      name: 'configuration_version',
      help: 'Version in force',
      read: () => fleet.inForce?.configuration.version ?? 0,
    },
    {
      name: 'configuration_highest_version',
      help: 'Newest version that any daemon is known to have in force',
      read: () => follower.highestVersion,
    },
    {
      name: 'services_cut_off',
      help: 'Services from whose servers this daemon is cut off',
      read: () => paths.lostCount,
    },
    {
      name: 'stream_origins',
      help: 'Streams whose software version this daemon knows, its own and those that it keeps for others',
      read: () => streams.recordCount,
    },
    {
      name: 'store_era',
      help: 'Era of the store: rises each time that it comes back from an older copy',
      read: () => follower.storeEra,
    },
    {
      name: 'store_tables_unread',
      help: 'Watched tables that are to be read whole before their changes are followed',
      read: () => follower.unreadTables,
    },
    {
      name: 'configuration_look_age_ms',
      help: "Age of the last look for a newer configuration, this daemon's own or its relay's",
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
      help: 'Age of the last answer',
      read: () => follower.silentMs(),
    },
    {
      name: 'server_rows_unreadable',
      help: 'Rows of the list of servers that cannot be read; they name no server to use',
      read: () => follower.unreadableServers,
    },
    {
      name: 'peers',
      help: 'Daemons heard of lately',
      read: () => fleet.peerLoads.count(timers.nowMs()),
    },
    {
      name: 'fleet_daemons',
      help: 'Daemons of the last list, this one counted; 0 until one was read',
      read: () => fleet.size.listed ?? 0,
    },
    {
      name: 'engine_wait_busiest_to_mean',
      help: 'What waits at the busiest engine that only reads, against the mean of these; 0 while nothing waits',
      read: () => fleet.busiestToMeanWait(timers.nowMs()),
    },
    {
      name: 'requests_in_flight',
      help: 'Requests without a final answer',
      read: () => callers.inFlight,
    },
    {
      name: 'request_body_bytes',
      help: 'Bytes held of the bodies of requests whose answers have not ended',
      read: () => callers.heldBodies.bytes,
    },
    {
      name: 'cached_parts',
      help: 'Parts of prompts that servers are believed to have cached, as far as this daemon knows',
      read: () => fleet.prefixIndex.size,
    },
    {
      name: 'open_sockets',
      help: 'Open sockets of this process, those that listen included',
      read: openSockets,
    },
    {
      name: 'loop_late_most_ms',
      help: 'How late the event loop was at most since the metrics were last read',
      read: () => resources.takeWorstLateMs(),
    },
    {
      name: 'datagram_delay_most_ms',
      help: 'Upper bound of the longest time that a datagram of another daemon was on its way since the metrics were last read',
      read: () => datagramDelays.takeWorstMs(),
    },
    {
      name: 'requests_waiting',
      help: 'Requests that wait for room',
      read: () => admission.waiting,
    },
    {
      name: 'connections_opened',
      help: 'Connections opened to backends',
      read: () => connections.openedTotal,
    },
    {
      name: 'server_loads_unreadable',
      help: 'Reports of web servers on their load that could not be read, since the start',
      read: () => webWork.unreadableTotal,
    },
    {
      name: 'servers_said_leaving',
      help: 'Listed servers that have said in an answer to this daemon that they leave',
      read: () => fleet.countReporting('leaving', timers.nowMs()),
    },
    {
      name: 'servers_resting',
      help: 'Listed servers that want nothing from this daemon for a time, as they asked',
      read: () => fleet.countReporting('resting', timers.nowMs()),
    },
    {
      name: 'servers_limited',
      help: 'Servers that name a limit of requests a second, as far as this daemon knows',
      read: () => fleet.limits.count,
    },
    {
      name: 'limit_permits',
      help: 'Requests that this daemon may send to servers that name a limit at this moment',
      read: () => fleet.permits.count(timers.nowMs()),
    },
    {
      name: 'limit_servers_granted',
      help: 'Servers that name a limit, or did lately, whose requests this daemon grants to all',
      read: () => limits.grantedServers,
    },
    {
      name: 'requests_quarantined',
      help: 'Requests that are not sent any more, as servers ended while they ran',
      read: () => crashes.counts.quarantinedRequests,
    },
    {
      name: 'requests_suspected',
      help: 'Requests that ran at a server when it ended, or did so until they were cleared',
      read: () => crashes.counts.requests,
    },
    {
      name: 'prompt_parts_quarantined',
      help: 'Parts of prompts with which no request is sent any more, as servers ended under such requests',
      read: () => crashes.counts.quarantinedParts,
    },
    {
      name: 'prompt_parts_suspected',
      help: 'Parts of prompts of requests that ran at a server when it ended, and on which no server has begun to write since',
      read: () => crashes.counts.parts,
    },
    { name: 'log_lines_dropped', help: 'Log lines left out', read: () => log.droppedTotal },
    {
      name: 'internal_faults',
      help: 'Exceptions that ended one request or one task (event 6009)',
      read: () => log.faultsTotal,
    },
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
      help: 'Servers that the work needs, with room for its unevenness',
      read: sumOf(({ needed }) => needed),
    },
    {
      name: 'capacity_wanted',
      help: 'Servers that there are to be, the spare ones counted',
      read: sumOf(({ wanted }) => wanted),
    },
    {
      name: 'capacity_present',
      help: 'Servers that take work',
      read: sumOf(({ present }) => present),
    },
    {
      name: 'capacity_coming',
      help: 'Servers under order or booting',
      read: sumOf(({ coming }) => coming),
    },
  ];
}
