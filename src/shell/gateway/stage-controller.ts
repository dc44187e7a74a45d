/**
 * Orders engines to change their stage, under a lease: of all daemons at most one acts at a time, and
 * each order carries the lease's epoch as its fence. A daemon that wants no change takes no part.
 */
import {
  type EngineStage,
  planStageChange,
  type ServerRecord,
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
import type { BackendConnections } from './backend-connections.js';
import type { FleetView } from './fleet-view.js';
import type { EngineCall, EngineReport, RequestCodec, TableService } from './ports.js';
import type { GatewayLog } from './request-log.js';
import { type CancelTimer, callWithin, type TimerService } from './timer-service.js';

const TICK_MS = 250;
/** A change has to be wanted for this long, and a random while more, before the lease is sought. */
const SETTLE_MS = 600;
const SETTLE_SPREAD_MS = 900;
/** An engine that was ordered counts as changed until its own word has had this long to come. */
const ORDER_EFFECT_MS = 3_000;
/** Between two orders, so that not all engines are away at once. */
const ORDER_GAP_MS = 500;
const ORDER_TIMEOUT_MS = 1_000;
const CONNECT_TIMEOUT_MS = 300;
const TABLE_TIMEOUT_MS = 1_500;
const LEASE_MARGIN_SHARE = 0.2;
const MAX_ANSWER_BYTES = 65_536;
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
  readonly timers: TimerService;
  readonly log: GatewayLog;
}

interface EngineAnswer {
  /** A status, or why there is none. */
  readonly outcome: number | string;
  readonly body: Buffer | undefined;
}

interface OrderedStage {
  readonly stage: EngineStage;
  readonly untilMs: number;
}

/** A daemon's part in ordering engines. */
export class StageController {
  readonly #options: StageControllerOptions;
  #lease: LeaseState;
  #cancelTick: CancelTimer | undefined;
  #wantedSinceMs: number | undefined;
  #settleMs: number;
  #lastOrderMs = Number.NEGATIVE_INFINITY;
  readonly #ordered = new Map<string, OrderedStage>();
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
    const change = this.#wantedChange(nowMs);
    this.#noteWant(change, nowMs);
    this.#step({ kind: 'want', candidate: this.#isCandidate(nowMs) });
    this.#step({ kind: 'tick' });
    if (change !== undefined) this.#orderIfAllowed(change, nowMs);
  }

  #wantedChange(nowMs: number): StageChange | undefined {
    const { fleet } = this.#options;
    for (const service of fleet.inForce?.configuration.services.values() ?? []) {
      if (service.engine === undefined) continue;
      const change = planStageChange({
        engines: this.#expectedEngines(service.name, nowMs),
        work: fleet.demandOf(service.name).sums(nowMs),
        busyOf: (id) => fleet.loadOf(id).running + fleet.loadOf(id).expectedWaitMs(nowMs),
      });
      if (change !== undefined) return change;
    }
    return undefined;
  }

  /** The engines as they will be once what was ordered has taken effect. */
  #expectedEngines(service: string, nowMs: number): readonly ServerRecord[] {
    return this.#options.fleet.candidates(service).map((engine) => {
      const ordered = this.#ordered.get(engine.id);
      if (ordered === undefined) return engine;
      if (nowMs < ordered.untilMs) return { ...engine, stage: ordered.stage };
      this.#ordered.delete(engine.id);
      return engine;
    });
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
    if (!holdsAuthority(this.#lease, nowMs)) return;
    const epoch = epochOf(this.#lease);
    if (epoch === null) return;
    this.#lastOrderMs = nowMs;
    void this.#order(change, epoch);
  }

  async #order(change: StageChange, epoch: number): Promise<void> {
    const { daemon, codec, timers, log } = this.#options;
    const { engine, stage } = change;
    const report = await this.#readReport(engine);
    // The engine is looked at first; by then the lease may have run out.
    if (report === undefined || report.isBusy || report.stage === stage) return;
    if (!holdsAuthority(this.#lease, timers.nowMs()) || epochOf(this.#lease) !== epoch) return;
    const expectedSequence = report.orderSequence;
    log.write(GATEWAY_EVENTS.orderSent, {
      server: engine.id,
      stage,
      fence: epoch,
      expectedSequence,
      wantedPrefill: Math.round(change.wantedPrefill * 10) / 10,
      currentPrefill: change.currentPrefill,
    });
    this.#ordered.set(engine.id, { stage, untilMs: timers.nowMs() + ORDER_EFFECT_MS });
    const order = { stage, holder: daemon, fence: epoch, expectedSequence };
    const answer = await this.#callEngine(engine, codec.orderStage(order, engine.id));
    log.write(GATEWAY_EVENTS.orderAnswered, { server: engine.id, outcome: answer.outcome });
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
