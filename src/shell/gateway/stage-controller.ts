/**
 * Orders engines to change their stage, under a lease: of all daemons at most one acts at a time, and
 * each order carries the lease's epoch as its fence. A daemon that wants no change takes no part, and in a
 * large fleet only the relays do, which know most of the work.
 */
import {
  type EngineStage,
  type EngineTraits,
  planRescue,
  planStageChange,
  type ServerRecord,
  type StageChange,
  type StageNotice,
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
import type { BackendConnections } from './backend-connections.js';
import { DEMAND_SPAN_MS, type FleetView } from './fleet-view.js';
import type { EngineCall, EngineReport, RequestCodec, TableService } from './ports.js';
import type { GatewayLog } from './request-log.js';
import { type CancelTimer, callWithin, delay, type TimerService } from './timer-service.js';

const TICK_MS = 250;
/** A change has to be wanted for this long, and a random while more, before the lease is sought. */
const SETTLE_MS = 600;
const SETTLE_SPREAD_MS = 900;
/** Other daemons send an engine nothing more, and what it has ends, before it is ordered. */
const EMPTYING_MS = 300;
/** An ordered engine is asked this often whether its change is over, and the others are told. */
const FOLLOW_GAP_MS = 400;
/** A change that takes longer is followed no more; the platform's list will show it. */
const MOST_FOLLOWED_SWITCHES = 5;
const MOST_FOLLOWED_MS = 5_000;
/** An order back has to wait until the last one has paid for the time that the engine was away. */
const REVERSAL_SWITCHES = 4;
/** Nor does the split follow a mix that swings faster than it is seen. */
const LEAST_REVERSAL_MS = 2 * DEMAND_SPAN_MS;
/** No engine that generates can be reached for this long: longer than a lost packet, and for two looks. */
const RESCUE_SETTLE_MS = 400;
/** A rescue that came to nothing, as its engines were lost as well, is tried again after this time. */
const RESCUE_GAP_MS = 2_000;
/** Between two orders, so that not all engines are away at once. */
const ORDER_GAP_MS = 500;
const ORDER_TIMEOUT_MS = 1_000;
const CONNECT_TIMEOUT_MS = 300;
const TABLE_TIMEOUT_MS = 1_500;
const LEASE_MARGIN_SHARE = 0.2;
const MAX_ANSWER_BYTES = 65_536;
const STATUS_ACCEPTED = 202;
const RESOURCE = 'engine-stages';
const ENTROPY_RANGE = 2 ** 32;

/** What a controller is built from. */
export interface StageControllerOptions {
  readonly daemon: string;
  /** Another with each start of the process. */
  readonly incarnation: number;
  readonly leaseMs: number;
  readonly fleet: FleetView;
  readonly table: TableService;
  readonly connections: Pick<BackendConnections, 'call'>;
  readonly codec: RequestCodec;
  /** Whether this daemon may order engines at all. */
  readonly mayOrder: () => boolean;
  /** Tells the other daemons of an engine that changes. */
  readonly tellStage: (notice: StageNotice) => void;
  readonly timers: TimerService;
  readonly log: GatewayLog;
}

interface EngineAnswer {
  /** A status, or why there is none. */
  readonly outcome: number | string;
  readonly body: Buffer | undefined;
}

/** A daemon's part in ordering engines. */
export class StageController {
  readonly #options: StageControllerOptions;
  #lease: LeaseState;
  #cancelTick: CancelTimer | undefined;
  #wantedSinceMs: number | undefined;
  #lostSinceMs: number | undefined;
  #settleMs: number;
  #lastOrderMs = Number.NEGATIVE_INFINITY;
  #lastRescueMs = Number.NEGATIVE_INFINITY;
  #lastStage: EngineStage | undefined;
  #isStopped = false;

  constructor(options: StageControllerOptions) {
    this.#options = options;
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
    this.#cancelTick?.();
    if (!isReleased(this.#lease) && this.#isQuiet()) this.#step({ kind: 'release' });
  }

  #tick(): void {
    const nowMs = this.#options.timers.nowMs();
    const rescue = this.#wantedRescue(nowMs);
    const change = rescue.length > 0 ? undefined : this.#wantedChange(nowMs);
    this.#noteWant(change, nowMs);
    const isCandidate = rescue.length > 0 || this.#isCandidate(nowMs);
    this.#step({ kind: 'want', candidate: isCandidate && this.#options.mayOrder() });
    this.#step({ kind: 'tick' });
    if (rescue.length > 0) this.#rescueIfAllowed(rescue, nowMs);
    else if (change !== undefined) this.#orderIfAllowed(change, nowMs);
  }

  /** Engines to be ordered over at once, as nothing that generates has been reached for a while. */
  #wantedRescue(nowMs: number): readonly StageChange[] {
    const { fleet } = this.#options;
    const changes: StageChange[] = [];
    for (const service of fleet.inForce?.configuration.services.values() ?? []) {
      if (service.engine === undefined) continue;
      const rescue = planRescue({
        engines: fleet.expectedServers(service.name, nowMs),
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
    const epoch = this.#authority(nowMs);
    if (epoch === undefined) return;
    this.#lastRescueMs = nowMs;
    this.#lastOrderMs = nowMs;
    for (const change of changes) {
      this.#options.log.write(GATEWAY_EVENTS.stageLost, {
        server: change.engine.id,
        lostMs: Math.round(nowMs - (this.#lostSinceMs ?? nowMs)),
      });
      void this.#order(change, epoch, 0);
    }
  }

  #authority(nowMs: number): number | undefined {
    if (!holdsAuthority(this.#lease, nowMs)) return undefined;
    return epochOf(this.#lease) ?? undefined;
  }

  #wantedChange(nowMs: number): StageChange | undefined {
    const { fleet } = this.#options;
    for (const service of fleet.inForce?.configuration.services.values() ?? []) {
      if (service.engine === undefined) continue;
      const change = planStageChange({
        engines: fleet.expectedServers(service.name, nowMs),
        need: fleet.stageNeedOf(service.name, nowMs),
        busyOf: (id) => fleet.busyOf(id, nowMs),
      });
      if (change !== undefined && this.#isPaidFor(change, service.engine, nowMs)) return change;
    }
    return undefined;
  }

  /** A change that undoes the last one comes no sooner than that has been of use. */
  #isPaidFor(change: StageChange, traits: EngineTraits, nowMs: number): boolean {
    if (this.#lastStage === undefined || this.#lastStage === change.stage) return true;
    const gapMs = Math.max(LEAST_REVERSAL_MS, REVERSAL_SWITCHES * traits.roleSwitchMs);
    return nowMs - this.#lastOrderMs >= gapMs;
  }

  #noteWant(change: StageChange | undefined, nowMs: number): void {
    if (change !== undefined) {
      this.#wantedSinceMs ??= nowMs;
      return;
    }
    if (this.#wantedSinceMs !== undefined) this.#settleMs = drawSettleMs();
    this.#wantedSinceMs = undefined;
  }

  /** A holder stays one until its last order is older than the lease: no quick turns. */
  #isCandidate(nowMs: number): boolean {
    if (!this.#isQuiet()) return true;
    return this.#wantedSinceMs !== undefined && nowMs - this.#wantedSinceMs >= this.#settleMs;
  }

  #isQuiet(): boolean {
    const { timers, leaseMs } = this.#options;
    return timers.nowMs() - this.#lastOrderMs > 2 * leaseMs;
  }

  #orderIfAllowed(change: StageChange, nowMs: number): void {
    if (nowMs - this.#lastOrderMs < ORDER_GAP_MS) return;
    const epoch = this.#authority(nowMs);
    if (epoch === undefined) return;
    this.#lastOrderMs = nowMs;
    void this.#order(change, epoch, EMPTYING_MS);
  }

  async #order(change: StageChange, epoch: number, emptyingMs: number): Promise<void> {
    const { daemon, codec, timers, log } = this.#options;
    const { engine, stage } = change;
    this.#tellStage({ engineId: engine.id, stage, phase: 'changing' });
    await delay(timers, emptyingMs);
    const report = await this.#readReport(engine);
    // The engine is looked at first; by then the lease may have run out.
    if (report === undefined || report.isBusy || report.stage === stage) return;
    if (this.#authority(timers.nowMs()) !== epoch) return;
    const expectedSequence = report.orderSequence;
    log.write(GATEWAY_EVENTS.orderSent, {
      server: engine.id,
      stage,
      fence: epoch,
      expectedSequence,
      wantedPrefill: change.wantedPrefill,
      currentPrefill: change.currentPrefill,
    });
    this.#lastStage = stage;
    const order = { stage, holder: daemon, fence: epoch, expectedSequence };
    const answer = await this.#callEngine(engine, codec.orderStage(order, engine.id));
    log.write(GATEWAY_EVENTS.orderAnswered, { server: engine.id, outcome: answer.outcome });
    if (answer.outcome !== STATUS_ACCEPTED) return;
    await this.#follow(engine, stage);
  }

  /** Tells the others that an engine is away, until it says that its change is over. */
  async #follow(engine: ServerRecord, stage: EngineStage): Promise<void> {
    const { timers, fleet, log } = this.#options;
    const startedAtMs = timers.nowMs();
    const traits = fleet.inForce?.configuration.services.get(engine.service)?.engine;
    const mostMs = MOST_FOLLOWED_MS + MOST_FOLLOWED_SWITCHES * (traits?.roleSwitchMs ?? 0);
    while (!this.#isStopped && timers.nowMs() - startedAtMs < mostMs) {
      this.#tellStage({ engineId: engine.id, stage, phase: 'changing' });
      await delay(timers, FOLLOW_GAP_MS);
      if (fleet.directory.get(engine.id) === undefined) return;
      const report = await this.#readReport(engine);
      if (report === undefined || report.isBusy || report.stage !== stage) continue;
      this.#tellStage({ engineId: engine.id, stage, phase: 'changed' });
      const elapsedMs = Math.round(timers.nowMs() - startedAtMs);
      log.write(GATEWAY_EVENTS.stageChanged, { server: engine.id, stage, elapsedMs });
      return;
    }
  }

  #tellStage(notice: StageNotice): void {
    const { fleet, timers, tellStage } = this.#options;
    fleet.stageNotices.take(notice, timers.nowMs());
    tellStage(notice);
  }

  async #readReport(engine: ServerRecord): Promise<EngineReport | undefined> {
    const { codec } = this.#options;
    const answer = await this.#callEngine(engine, codec.report(engine.id));
    return answer.body === undefined ? undefined : codec.readReport(answer.body);
  }

  #callEngine(engine: ServerRecord, call: EngineCall): Promise<EngineAnswer> {
    const { connections, timers } = this.#options;
    return callWithin(timers, ORDER_TIMEOUT_MS, undefined, async (signal) => {
      const result = await connections.call({
        ...call,
        address: engine.address,
        mayKeepConnection: false,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        signal,
      });
      if (result.kind !== 'answered') return { outcome: result.reason, body: undefined };
      const body = await result.answer.collect(MAX_ANSWER_BYTES);
      return { outcome: result.answer.status, body };
    });
  }

  #step(event: LeaseEvent): void {
    const now = this.#options.timers.nowMs();
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
    const { table, timers } = this.#options;
    const result = await callWithin(timers, TABLE_TIMEOUT_MS, undefined, (signal) =>
      table.call(effect.call, signal),
    );
    this.#step({ kind: 'table-result', token: effect.token, result });
  }
}

function drawSettleMs(): number {
  return SETTLE_MS + Math.random() * SETTLE_SPREAD_MS;
}
