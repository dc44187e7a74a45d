/**
 * Orders engines to change their stage, under a lease: of all daemons at most one acts at a time, and
 * each order carries the lease's epoch as its fence. A daemon that wants no change takes no part, and in a
 * large fleet only the relays do, which know most of the work.
 */
import {
  type EngineStage,
  type EngineTraits,
  planDecodeRecovery,
  planStageChanges,
  type StageChange,
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
import type { TableService } from './ports.js';
import { StageOrders, type StageOrdersOptions } from './stage-orders.js';
import { callTable } from './table-call.js';
import type { CancelTimer, TimerService } from './timer-service.js';

const TICK_MS = 250;
/** A change has to be wanted for this long, and a random while more, before the lease is sought. */
const SETTLE_MS = 600;
const SETTLE_SPREAD_MS = 900;
/** Other daemons send an engine nothing more, and what it has ends, before it is ordered. */
const EMPTYING_MS = 300;
/**
 * A change has to be wanted for this many times as long as an engine is away for it: a demand that ends
 * sooner has cost more than the change brought, once for the way there and once for the way back.
 */
const WANTED_SWITCHES = 2;
/** An order back has to wait until the last one has paid for the time that the engine was away. */
const REVERSAL_SWITCHES = 4;
/** Nor does the split follow a mix that swings faster than it is seen. */
const LEAST_REVERSAL_MS = 2 * DEMAND_WINDOW_MS;
/** No engine that generates can be reached for this long: longer than a lost packet, and for two looks. */
const RESCUE_SETTLE_MS = 400;
/** A rescue that came to nothing, as its engines were lost as well, is tried again after this time. */
const RESCUE_GAP_MS = 2_000;
/** Between two orders, so that not all engines are away at once. */
const ORDER_GAP_MS = 500;
const LEASE_MARGIN_SHARE = 0.2;
const RESOURCE = 'engine-stages';
const ENTROPY_RANGE = 2 ** 32;

/** What a controller is built from. */
export interface StageControllerOptions
  extends Omit<StageOrdersOptions, 'currentEpoch' | 'onOrderSent'> {
  /** Another with each start of the process. */
  readonly incarnation: number;
  readonly leaseMs: number;
  /** Whose clock counts the time of a suspended machine. */
  readonly leaseTimers: TimerService;
  readonly table: TableService;
  /** Whether this daemon may order engines at all. */
  readonly mayOrder: () => boolean;
  /** Engines of a service under order or booting, as far as is known. */
  readonly startingEngines: (service: string) => number;
}

/** A daemon's part in ordering engines. */
export class StageController {
  readonly #options: StageControllerOptions;
  readonly #orders: StageOrders;
  #lease: LeaseState;
  #cancelTick: CancelTimer | undefined;
  #wantedSinceMs: number | undefined;
  #leastWantMs = 0;
  #lostSinceMs: number | undefined;
  /** Services of which an engine that generates could be reached before. */
  readonly #onceGenerated = new Set<string>();
  #settleMs: number;
  #lastOrderMs = Number.NEGATIVE_INFINITY;
  #lastRescueMs = Number.NEGATIVE_INFINITY;
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
    this.#settleMs = drawSettleMs();
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

  /** Gives the lease up; orders that were sent stand. */
  stop(): void {
    this.#isStopped = true;
    this.#orders.stop();
    this.#cancelTick?.();
    if (!isReleased(this.#lease) && this.#isQuiet()) this.#step({ kind: 'release' });
  }

  #tick(): void {
    const nowMs = this.#options.timers.nowMs();
    const rescue = this.#wantedRescue(nowMs);
    const changes = rescue.length > 0 ? [] : this.#wantedChanges(nowMs);
    this.#noteWant(changes.length > 0, nowMs);
    const isCandidate = rescue.length > 0 || this.#isCandidate(nowMs);
    this.#step({ kind: 'want', candidate: isCandidate && this.#options.mayOrder() });
    this.#step({ kind: 'tick' });
    if (rescue.length > 0) this.#rescueIfAllowed(rescue, nowMs);
    else if (changes.length > 0) this.#orderIfAllowed(changes, nowMs);
  }

  /** Engines to be ordered over at once, as nothing that generates has been reached for a while. */
  #wantedRescue(nowMs: number): readonly StageChange[] {
    const { fleet } = this.#options;
    const changes: StageChange[] = [];
    for (const service of fleet.inForce?.configuration.services.values() ?? []) {
      if (service.engine === undefined) continue;
      const engines = fleet.expectedServers(service.name, nowMs);
      // While servers are only being listed, those that generate may come last.
      const generates = engines.some(
        ({ id, stage }) => stage === 'decode' && fleet.isReachable(id, nowMs),
      );
      if (generates) this.#onceGenerated.add(service.name);
      if (!this.#onceGenerated.has(service.name)) continue;
      const rescue = planDecodeRecovery({
        engines,
        busyOf: (id) => fleet.busyOf(id, nowMs),
        isReachable: (id) => fleet.isReachable(id, nowMs),
      });
      changes.push(...rescue);
    }
    if (changes.length === 0) this.#lostSinceMs = undefined;
    else this.#lostSinceMs ??= nowMs;
    const isSettled =
      this.#lostSinceMs !== undefined && nowMs - this.#lostSinceMs >= RESCUE_SETTLE_MS;
    return isSettled ? changes : [];
  }

  /** What damps changes for the sake of load has no say here, but an order under way is waited for. */
  #rescueIfAllowed(changes: readonly StageChange[], nowMs: number): void {
    if (nowMs - this.#lastRescueMs < RESCUE_GAP_MS) return;
    const epoch = this.#authority();
    if (epoch === undefined) return;
    this.#lastRescueMs = nowMs;
    this.#lastOrderMs = nowMs;
    for (const change of changes) {
      this.#options.log.write(GATEWAY_EVENTS.stageLost, {
        server: change.engine.id,
        lostMs: Math.round(nowMs - (this.#lostSinceMs ?? nowMs)),
      });
      void this.#orders.order(change, epoch, 0);
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
      // An engine that names a limit does a part of what others do: counted whole, its stage would be short of engines.
      const limitShareOf = fleet.demand.limitSharesOf(service.name, nowMs);
      const changes = planStageChanges({
        engines: fleet.expectedServers(service.name, nowMs),
        need: fleet.demand.needOf(service.name, nowMs),
        startingEngines: this.#options.startingEngines(service.name),
        busyOf: (id) => fleet.busyOf(id, nowMs),
        paceOf: (id) => paceOf(id) * limitShareOf(id),
      });
      const paidFor = changes.filter((change) => this.#isPaidFor(change, traits, nowMs));
      if (paidFor.length === 0) continue;
      this.#leastWantMs = WANTED_SWITCHES * traits.roleSwitchMs;
      return paidFor;
    }
    return [];
  }

  /** A change that undoes the last one comes no sooner than that has been of use. */
  #isPaidFor(change: StageChange, traits: EngineTraits, nowMs: number): boolean {
    if (this.#lastStage === undefined || this.#lastStage === change.stage) return true;
    const gapMs = Math.max(LEAST_REVERSAL_MS, REVERSAL_SWITCHES * traits.roleSwitchMs);
    return nowMs - this.#lastOrderMs >= gapMs;
  }

  #noteWant(isWanted: boolean, nowMs: number): void {
    if (isWanted) {
      this.#wantedSinceMs ??= nowMs;
      return;
    }
    if (this.#wantedSinceMs !== undefined) this.#settleMs = drawSettleMs();
    this.#wantedSinceMs = undefined;
  }

  /** A holder stays one until its last order is older than the lease: no quick turns. */
  #isCandidate(nowMs: number): boolean {
    return !this.#isQuiet() || this.#wantedForMs(nowMs) >= this.#settleMs;
  }

  #wantedForMs(nowMs: number): number {
    return this.#wantedSinceMs === undefined ? 0 : nowMs - this.#wantedSinceMs;
  }

  #isQuiet(): boolean {
    const { timers, leaseMs } = this.#options;
    return timers.nowMs() - this.#lastOrderMs > 2 * leaseMs;
  }

  #orderIfAllowed(changes: readonly StageChange[], nowMs: number): void {
    if (nowMs - this.#lastOrderMs < ORDER_GAP_MS) return;
    if (this.#wantedForMs(nowMs) < this.#leastWantMs) return;
    const epoch = this.#authority();
    if (epoch === undefined) return;
    this.#lastOrderMs = nowMs;
    for (const change of changes) void this.#orders.order(change, epoch, EMPTYING_MS);
  }

  #step(event: LeaseEvent): void {
    const now = this.#options.leaseTimers.nowMs();
    const entropy = Math.floor(Math.random() * ENTROPY_RANGE);
    const { state, effects } = stepLease(this.#lease, event, { now, entropy });
    this.#lease = state;
    for (const effect of effects) {
      switch (effect.kind) {
        case 'table':
          void this.#callTable(effect);
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

function drawSettleMs(): number {
  return SETTLE_MS + Math.random() * SETTLE_SPREAD_MS;
}
