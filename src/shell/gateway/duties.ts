/**
 * Duties, which one daemon of the fleet at a time performs for the platform: usage reports, where the settings
 * configure them, and capacity orders.
 */
import type { CapacitySummary } from '../../core/capacity/index.js';
import type { PeerRoster, Tenant } from '../../core/gateway/index.js';
import { CapacityController } from './capacity-controller.js';
import type { FleetView } from './fleet-view.js';
import type { GatewaySettings } from './gateway-settings.js';
import { runLoopInBackground } from './internal-faults.js';
import type { PeerExchange, Reply } from './peer-exchange.js';
import type { UsageMessage } from './peer-messages.js';
import type { PlatformAdapter } from './ports.js';
import type { GatewayLog } from './request-log.js';
import { UsageReporter } from './tenant-usage.js';
import { steadyWallClock, type TimerService } from './timer-service.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Dependencies and settings of the duties. */
export interface DutiesOptions {
  readonly settings: Pick<GatewaySettings, 'name' | 'bounds' | 'duties' | 'decisions'>;
  readonly adapter: Pick<PlatformAdapter, 'duties' | 'table'>;
  /** Drawn anew with each start of the process. */
  readonly incarnation: number;
  readonly fleet: FleetView;
  readonly roster: PeerRoster;
  /** Returns undefined where this daemon does not exchange messages with others. */
  readonly peers: () => Pick<PeerExchange, 'sendMessage'> | undefined;
  /** Whether this daemon knows the demand of the whole fleet, without which it must not order. */
  readonly mayOrderCapacity: () => boolean;
  readonly timers: TimerService;
  /** Timers whose clock includes the time during which the machine was suspended. */
  readonly leaseTimers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** The duties that this daemon may take over; none where the platform has none. */
export class Duties {
  readonly #usage: UsageReporter | undefined;
  readonly #capacity: CapacityController | undefined;
  readonly #options: Pick<DutiesOptions, 'log' | 'timers'>;

  constructor(options: DutiesOptions) {
    const { settings, adapter, roster, peers, mayOrderCapacity, timers } = options;
    this.#options = options;
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
      toleratesZoneLoss: settings.decisions.spareCapacity,
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
    const usage = this.#usage;
    const capacity = this.#capacity;
    if (usage !== undefined) runLoopInBackground(this.#options, 'usage duty', () => usage.run());
    if (capacity !== undefined) {
      runLoopInBackground(this.#options, 'capacity duty', () => capacity.run());
    }
  }

  stop(): void {
    this.#usage?.stop();
    this.#capacity?.stop();
  }

  /** Estimates for the services whose servers are billed by the second; none where this daemon orders nothing. */
  get capacitySummaries(): readonly CapacitySummary[] {
    return this.#capacity?.summaries ?? [];
  }

  /** Servers of a service that are ordered or booting, as far as this daemon knows. */
  startingServers(service: string): number {
    return this.capacitySummaries.find((known) => known.service === service)?.coming ?? 0;
  }

  /** Records that a tenant's request began to run `agoMs` ago. */
  recordRunStart(tenant: Tenant | undefined, agoMs: number): void {
    if (tenant !== undefined) this.#usage?.recordRunStart(tenant.name, agoMs);
  }

  /** Handles another daemon's message on usage. */
  handleUsage(message: UsageMessage, reply: Reply): void {
    this.#usage?.handleMessage(message, reply);
  }
}
