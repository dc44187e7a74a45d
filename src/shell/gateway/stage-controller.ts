/**
 * Orders engines to change their stage, under a lease: at most one daemon acts at a time, and each order carries the
 * lease's epoch as its fencing token. Only daemons that want a change seek the lease; in a large fleet only the relays
 * may order, as they know most of the work.
 */
import {
  DecodeRecovery,
  type EngineStage,
  type EngineTraits,
  maxStreamLifeMs,
  planStageChanges,
  type RecoveryChange,
  type StageChange,
  softwareVersionOf,
} from '../../core/gateway/index.js';
import {
  epochOf,
  holdsAuthority,
  initialLeaseState,
  isReleased,
  type LeaseEvent,
  type LeaseState,
  stepLease,
} from '../../core/lease/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { TableEffect } from '../../core/platform/table.js';
import { DEMAND_WINDOW_MS } from './fleet-demand.js';
import { runInBackground } from './internal-faults.js';
import type { TableService } from './ports.js';
import { StageOrders, type StageOrdersOptions } from './stage-orders.js';
import { callTable } from './table-call.js';
import type { CancelTimer, TimerService } from './timer-service.js';

const TICK_MS = 250;
/** The lease is sought once a change has been wanted for this long, plus a random time up to the spread. */
const LEASE_DELAY_MS = 600;
const LEASE_DELAY_SPREAD_MS = 900;
/** Time between the notice to the other daemons and the order: the engine gets no new work and finishes what it has. */
const DRAIN_MS = 300;
/**
 * A change has to be wanted for this many times the duration of a stage change, in which the engine does no work.
 * Demand that ends sooner does not pay for the change to the other stage and the change back.
 */
const MIN_WANTED_SWITCHES = 2;
/** A reversal waits this many times the duration of a stage change, until the last change has paid for its downtime. */
const MIN_REVERSAL_SWITCHES = 4;
/** Minimum time before a reversal: the split must not follow a mix of work that varies faster than it is measured. */
const MIN_REVERSAL_MS = 2 * DEMAND_WINDOW_MS;
/** Minimum time between two recoveries, after which one whose engines were lost as well is repeated. */
const MIN_RECOVERY_INTERVAL_MS = 2_000;
/** Minimum time between two orders, so that not all engines change their stage at once. */
const MIN_ORDER_INTERVAL_MS = 500;
const LEASE_MARGIN_SHARE = 0.2;
const RESOURCE = 'engine-stages';
const ENTROPY_RANGE = 2 ** 32;

/** Dependencies and settings of a stage controller. */
export interface StageControllerOptions
  extends Omit<StageOrdersOptions, 'currentEpoch' | 'onOrderSent'> {
  /** Drawn anew with each start of the process. */
  readonly incarnation: number;
  readonly leaseMs: number;
  /** Timers whose clock includes the time during which the machine was suspended. */
  readonly leaseTimers: TimerService;
  readonly table: TableService;
  /** Whether this daemon may order engines at all. */
  readonly mayOrder: () => boolean;
  /** Number of a service's engines that are known to be ordered or booting. */
  readonly startingEngines: (service: string) => number;
}

/** Orders stage changes while this daemon holds the lease. */
export class StageController {
  readonly #options: StageControllerOptions;
  readonly #orders: StageOrders;
  #lease: LeaseState;
  #cancelTick: CancelTimer | undefined;
  #wantedSinceMs: number | undefined;
  #minWantedMs = 0;
  readonly #recovery = new DecodeRecovery();
  #leaseDelayMs: number;
  #lastOrderMs = Number.NEGATIVE_INFINITY;
  #lastRecoveryMs = Number.NEGATIVE_INFINITY;
  #lastStage: EngineStage | undefined;
  #isStopped = false;

  constructor(options: StageControllerOptions) {
    this.#options = options;
    this.#orders = new StageOrders({
      ...options,
      currentEpoch: () => this.#authority(),
      onOrderSent: (stage) => {
        this.#lastStage = stage;
      },
    });
    this.#leaseDelayMs = drawLeaseDelayMs();
    this.#lease = initialLeaseState({
      resource: RESOURCE,
      daemon: options.daemon,
      incarnation: options.incarnation,
      durationMs: options.leaseMs,
      marginMs: options.leaseMs * LEASE_MARGIN_SHARE,
    });
  }

  start(): void {
    this.#cancelTick = this.#options.timers.after(TICK_MS, () => {
      this.#tick();
      if (!this.#isStopped) this.start();
    });
  }

  /** Releases the lease unless an order was sent recently; orders that were sent stay valid. */
  stop(): void {
    this.#isStopped = true;
    this.#orders.stop();
    this.#cancelTick?.();
    if (!isReleased(this.#lease) && this.#hasNoRecentOrder()) this.#step({ kind: 'release' });
  }

  #tick(): void {
    const nowMs = this.#options.timers.nowMs();
    const recovery = this.#wantedRecovery(nowMs);
    const changes = recovery.length > 0 ? [] : this.#wantedChanges(nowMs);
    this.#recordWanted(changes.length > 0, nowMs);
    // The lease is sought while the loss is not yet certain, so that the order does not wait for it.
    const isCandidate = recovery.length > 0 || this.#isCandidate(nowMs);
    this.#step({ kind: 'want', candidate: isCandidate && this.#options.mayOrder() });
    this.#step({ kind: 'tick' });
    const due = recovery.filter(({ isDue }) => isDue);
    if (due.length > 0) this.#recoverIfAllowed(due, nowMs);
    else if (changes.length > 0) this.#orderIfAllowed(changes, nowMs);
  }

  #wantedRecovery(nowMs: number): readonly RecoveryChange[] {
    const { fleet } = this.#options;
    const { configuration } = fleet.inForce ?? {};
    const services = [...(configuration?.services.values() ?? [])]
      .filter(({ engine }) => engine !== undefined)
      .map(({ name }) => ({
        service: name,
        engines: fleet.expectedServers(name, nowMs),
        streamLifeMs: maxStreamLifeMs(configuration?.routes ?? [], name),
        busyOf: (id: string) => fleet.busyOf(id, nowMs),
        isReachable: (id: string) => fleet.isReachable(id, nowMs),
      }));
    return this.#recovery.changesFor(services, nowMs);
  }

  /** Recovery ignores the delays for load-driven changes; it only waits for the lease and the last recovery. */
  #recoverIfAllowed(changes: readonly RecoveryChange[], nowMs: number): void {
    if (nowMs - this.#lastRecoveryMs < MIN_RECOVERY_INTERVAL_MS) return;
    const epoch = this.#authority();
    if (epoch === undefined) return;
    this.#lastRecoveryMs = nowMs;
    this.#lastOrderMs = nowMs;
    for (const change of changes) {
      this.#options.log.write(GATEWAY_EVENTS.stageLost, {
        server: change.engine.id,
        version: softwareVersionOf(change.engine),
        lostMs: Math.round(change.lostForMs),
      });
      this.#order(change, epoch, 0);
    }
  }

  #authority(): number | undefined {
    if (!holdsAuthority(this.#lease, this.#options.leaseTimers.nowMs())) return undefined;
    return epochOf(this.#lease) ?? undefined;
  }

  #wantedChanges(nowMs: number): readonly StageChange[] {
    const { fleet } = this.#options;
    for (const service of fleet.inForce?.configuration.services.values() ?? []) {
      const { engine: traits } = service;
      if (traits === undefined) continue;
      const paceOf = fleet.paces.pacesOf(service.name);
      // An engine with a rate limit does only a share of the work of others: counted as one, it would leave its stage
      // short of engines.
      const limitShareOf = fleet.demand.limitSharesOf(service.name, nowMs);
      const changes = planStageChanges({
        engines: fleet.expectedServers(service.name, nowMs),
        need: fleet.demand.needOf(service.name, nowMs),
        startingEngines: this.#options.startingEngines(service.name),
        busyOf: (id) => fleet.busyOf(id, nowMs),
        paceOf: (id) => paceOf(id) * limitShareOf(id),
      });
      const dueChanges = changes.filter((change) => this.#isDue(change, traits, nowMs));
      if (dueChanges.length === 0) continue;
      this.#minWantedMs = MIN_WANTED_SWITCHES * traits.roleSwitchMs;
      return dueChanges;
    }
    return [];
  }

  /** Whether a change may be ordered now: a reversal of the last one waits until that one has paid off. */
  #isDue(change: StageChange, traits: EngineTraits, nowMs: number): boolean {
    if (this.#lastStage === undefined || this.#lastStage === change.stage) return true;
    const gapMs = Math.max(MIN_REVERSAL_MS, MIN_REVERSAL_SWITCHES * traits.roleSwitchMs);
    return nowMs - this.#lastOrderMs >= gapMs;
  }

  #recordWanted(isWanted: boolean, nowMs: number): void {
    if (isWanted) {
      this.#wantedSinceMs ??= nowMs;
      return;
    }
    if (this.#wantedSinceMs !== undefined) this.#leaseDelayMs = drawLeaseDelayMs();
    this.#wantedSinceMs = undefined;
  }

  /** A holder remains a candidate until its last order is older than two leases, so that the lease does not flap. */
  #isCandidate(nowMs: number): boolean {
    return !this.#hasNoRecentOrder() || this.#wantedForMs(nowMs) >= this.#leaseDelayMs;
  }

  #wantedForMs(nowMs: number): number {
    return this.#wantedSinceMs === undefined ? 0 : nowMs - this.#wantedSinceMs;
  }

  #hasNoRecentOrder(): boolean {
    const { timers, leaseMs } = this.#options;
    return timers.nowMs() - this.#lastOrderMs > 2 * leaseMs;
  }

  #orderIfAllowed(changes: readonly StageChange[], nowMs: number): void {
    if (nowMs - this.#lastOrderMs < MIN_ORDER_INTERVAL_MS) return;
    if (this.#wantedForMs(nowMs) < this.#minWantedMs) return;
    const epoch = this.#authority();
    if (epoch === undefined) return;
    this.#lastOrderMs = nowMs;
    for (const change of changes) this.#order(change, epoch, DRAIN_MS);
  }

  #order(change: StageChange, epoch: number, drainMs: number): void {
    const { log } = this.#options;
    runInBackground(log, 'order a stage', this.#orders.order(change, epoch, drainMs));
  }

  #step(event: LeaseEvent): void {
    const now = this.#options.leaseTimers.nowMs();
    const entropy = Math.floor(Math.random() * ENTROPY_RANGE);
    const { state, effects } = stepLease(this.#lease, event, { now, entropy });
    this.#lease = state;
    for (const effect of effects) {
      switch (effect.kind) {
        case 'table':
          runInBackground(this.#options.log, 'stage lease', this.#callTable(effect));
          break;
        case 'log':
          this.#options.log.write(effect.event, effect.fields);
          break;
        case 'lease-acquired':
        case 'lease-lost':
          break;
      }
    }
  }

  async #callTable(effect: TableEffect): Promise<void> {
    const result = await callTable(this.#options, effect.call, undefined);
    this.#step({ kind: 'table-result', token: effect.token, result });
  }
}

function drawLeaseDelayMs(): number {
  return LEASE_DELAY_MS + Math.random() * LEASE_DELAY_SPREAD_MS;
}
