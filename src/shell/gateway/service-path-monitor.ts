/**
 * Follows whether this daemon has a path to the servers of each service. While one is lost, it tries the servers in turn,
 * as no request does.
 */
import { type ServerRecord, ServicePaths } from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { BackendConnections } from './backend-connections.js';
import type { FleetView } from './fleet-view.js';
import { runInBackground } from './internal-faults.js';
import type { GatewayLog } from './request-log.js';
import type { TimerService } from './timer-service.js';

/** Interval of the tries while a path is lost; each costs a server one connection. */
const TRY_INTERVAL_MS = 250;

/** Dependencies of the monitor. */
export interface ServicePathMonitorOptions {
  readonly fleet: Pick<FleetView, 'directory' | 'healthOf'>;
  readonly connections: Pick<BackendConnections, 'tryConnect'>;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** The paths of one daemon. */
export class ServicePathMonitor {
  readonly #options: ServicePathMonitorOptions;
  readonly #paths = new ServicePaths();
  #isStopped = false;

  constructor(options: ServicePathMonitorOptions) {
    this.#options = options;
  }

  /** Whether this daemon is cut off from the servers of a service. */
  isLost(service: string): boolean {
    return this.#paths.isLost(service);
  }

  /** The number of services from whose servers this daemon is cut off. */
  get lostCount(): number {
    return this.#paths.lost.length;
  }

  /** Records that a server accepted a connection. */
  recordConnected({ service, id }: ServerRecord): void {
    const { fleet, timers, log } = this.#options;
    const lostForMs = this.#paths.recordConnected(service, timers.nowMs());
    if (lostForMs === undefined) return;
    // The servers did not fail, the path did.
    for (const server of fleet.directory.readyOf(service)) {
      fleet.healthOf(server.id).forgetConnectFailures();
    }
    log.write(GATEWAY_EVENTS.pathRegained, {
      service,
      server: id,
      lostForMs: Math.round(lostForMs),
    });
  }

  /** Records that a server accepted no connection. */
  recordFailure({ service, id: serverId }: ServerRecord, reason: string): void {
    const { fleet, timers, log } = this.#options;
    const readyServers = fleet.directory.readyOf(service).length;
    const failure = { service, serverId, readyServers };
    if (!this.#paths.recordFailure(failure, timers.nowMs())) return;
    log.write(GATEWAY_EVENTS.pathLost, { service, server: serverId, readyServers, reason });
    this.#scheduleTry(service, 0);
  }

  stop(): void {
    this.#isStopped = true;
  }

  #scheduleTry(service: string, index: number): void {
    const { timers, log } = this.#options;
    timers.after(TRY_INTERVAL_MS, () =>
      runInBackground(log, 'try a lost path', this.#tryServer(service, index)),
    );
  }

  async #tryServer(service: string, index: number): Promise<void> {
    if (this.#isStopped || !this.isLost(service)) return;
    const { fleet, connections } = this.#options;
    const servers = fleet.directory.readyOf(service);
    const server = servers[index % Math.max(1, servers.length)];
    const outcome = server && (await connections.tryConnect(server.address));
    if (this.#isStopped || !this.isLost(service)) return;
    if (server !== undefined && outcome === 'accepted') this.recordConnected(server);
    else this.#scheduleTry(service, index + 1);
  }
}
