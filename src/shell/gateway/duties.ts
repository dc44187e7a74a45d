/**
 * The daemon's part in what the platform asks of one daemon at a time: usage reports, where the settings ask for
 * them, and orders of capacity.
 */
import type { CapacityBelief } from '../../core/capacity/index.js';
import type { PeerRoster, Tenant } from '../../core/gateway/index.js';
import { CapacityController } from './capacity-controller.js';
import type { FleetView } from './fleet-view.js';
import type { GatewaySettings } from './gateway-settings.js';
import type { PeerExchange, Reply } from './peer-exchange.js';
import type { UsageMessage } from './peer-messages.js';
import type { PlatformAdapter } from './ports.js';
import type { GatewayLog } from './request-log.js';
import { UsageReporter } from './tenant-usage.js';
import { steadyWallClock, type TimerService } from './timer-service.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** What duties are built from. */
export interface DutiesOptions {
  readonly settings: Pick<GatewaySettings, 'name' | 'bounds' | 'duties' | 'decisions'>;
  readonly adapter: Pick<PlatformAdapter, 'duties' | 'table'>;
  /** Another with each start of the process. */
  readonly incarnation: number;
  readonly fleet: FleetView;
  readonly roster: PeerRoster;
  /** Absent where this daemon tells no others. */
  readonly peers: () => Pick<PeerExchange, 'sendMessage'> | undefined;
  /** Whether this daemon knows enough of the fleet to order anything. */
  readonly mayOrderCapacity: () => boolean;
  readonly timers: TimerService;
  /** Whose clock counts the time of a suspended machine. */
  readonly leaseTimers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** The duties that this daemon may come to have; none where the platform asks for none. */
export class Duties {
  readonly #usage: UsageReporter | undefined;
  readonly #capacity: CapacityController | undefined;

  constructor(options: DutiesOptions) {
    const { settings, adapter, roster, peers, mayOrderCapacity, timers } = options;
    if (adapter.duties === undefined) return;
    const shared = {
      ...options,
      daemon: settings.name,
      leaseMs: settings.bounds.leaseMs,
      duties: adapter.duties,
      table: adapter.table,
    };
    this.#capacity = new CapacityController({
      ...shared,
      mayOrder: mayOrderCapacity,
      bearsLoss: settings.decisions.spareCapacity,
    });
    const windowSeconds = settings.duties?.usageWindowSeconds;
    if (windowSeconds === undefined) return;
    this.#usage = new UsageReporter({
      ...shared,
      windowMs: windowSeconds * MILLISECONDS_PER_SECOND,
      dueMs: (settings.duties?.usageDueSeconds ?? 0) * MILLISECONDS_PER_SECOND,
      roster,
      peers,
      wallClock: steadyWallClock(timers, Date.now()),
    });
  }

  start(): void {
    void this.#usage?.run();
    void this.#capacity?.run();
  }

  stop(): void {
    this.#usage?.stop();
    this.#capacity?.stop();
  }

  /** What is believed of the services that are paid by the second; none where this daemon orders nothing. */
  get capacityBeliefs(): readonly CapacityBelief[] {
    return this.#capacity?.beliefs ?? [];
  }

  /** Servers of a service that are on their way, as far as this daemon knows. */
  startingServers(service: string): number {
    return this.capacityBeliefs.find((known) => known.service === service)?.coming ?? 0;
  }

  /** A tenant's request began to run, so long ago. */
  recordRunStart(tenant: Tenant | undefined, agoMs: number): void {
    if (tenant !== undefined) this.#usage?.recordRunStart(tenant.name, agoMs);
  }

  /** What another daemon tells of usage, or asks. */
  handleUsage(message: UsageMessage, reply: Reply): void {
    this.#usage?.handleMessage(message, reply);
  }
}
