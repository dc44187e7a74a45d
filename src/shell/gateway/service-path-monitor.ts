/** Follows whether this daemon has a path to the servers of each service, and logs when one is lost or regained. */
import { type ServerRecord, ServicePaths } from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { FleetView } from './fleet-view.js';
import type { GatewayLog } from './request-log.js';
import type { TimerService } from './timer-service.js';

/** Dependencies of the monitor. */
export interface ServicePathMonitorOptions {
  readonly fleet: Pick<FleetView, 'directory'>;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** The paths of one daemon. */
export class ServicePathMonitor {
  readonly #options: ServicePathMonitorOptions;
  readonly #paths = new ServicePaths();

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
    const { timers, log } = this.#options;
    const lostForMs = this.#paths.recordConnected(service, timers.nowMs());
    if (lostForMs === undefined) return;
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
  }
}
