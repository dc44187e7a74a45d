/**
 * Orders to engines and what becomes of them: an engine is emptied, looked at, ordered under the fence of the
 * lease, and followed until it says that its change is over, while the other daemons are told.
 */
import type {
  EngineStage,
  ServerRecord,
  StageChange,
  StageNotice,
} from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { FleetView } from './fleet-view.js';
import type { EngineCall, EngineReport, RequestCodec } from './ports.js';
import type { GatewayLog } from './request-log.js';
import type { CallPurpose, ServerCalls } from './server-calls.js';
import { callWithTimeout, delay, type TimerService } from './timer-service.js';

/** An ordered engine is asked this often whether its change is over, and the others are told. */
const FOLLOW_GAP_MS = 400;
/** A change that takes longer is followed no more; the platform's list will show it. */
const MOST_FOLLOWED_SWITCHES = 5;
const MOST_FOLLOWED_MS = 5_000;
const ORDER_TIMEOUT_MS = 1_000;
const CONNECT_TIMEOUT_MS = 300;
const MAX_ANSWER_BYTES = 65_536;
const STATUS_ACCEPTED = 202;

/** What orders are built from. */
export interface StageOrdersOptions {
  readonly daemon: string;
  readonly fleet: FleetView;
  readonly calls: Pick<ServerCalls, 'call'>;
  readonly codec: RequestCodec;
  /** Tells the other daemons of an engine that changes. */
  readonly broadcastStage: (notice: StageNotice) => void;
  /** The epoch of the lease while this daemon holds it. */
  readonly currentEpoch: () => number | undefined;
  /** Told when an order is sent. */
  readonly onOrderSent: (stage: EngineStage) => void;
  readonly timers: TimerService;
  readonly log: GatewayLog;
}

interface EngineAnswer {
  /** A status, or why there is none. */
  readonly outcome: number | string;
  readonly body: Buffer | undefined;
}

/** Gives orders; whoever calls holds the lease. */
export class StageOrders {
  readonly #options: StageOrdersOptions;
  #isStopped = false;

  constructor(options: StageOrdersOptions) {
    this.#options = options;
  }

  /** Follows no engine any more; orders that were sent stand. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Empties an engine, orders it if the authority still holds by then, and follows its change. */
  async order(change: StageChange, epoch: number, emptyingMs: number): Promise<void> {
    const { daemon, codec, timers, log } = this.#options;
    const { engine, stage } = change;
    this.#tellStage({ engineId: engine.id, stage, phase: 'changing' });
    await delay(timers, emptyingMs);
    const report = await this.#readReport(engine);
    // The engine is looked at first; by then the lease may have run out, or another life of it have begun.
    if (report === undefined || report.isBusy || report.stage === stage) return;
    if (this.#isOtherLife(engine, report)) return;
    if (this.#options.currentEpoch() !== epoch) return;
    const expectedSequence = report.orderSequence;
    log.write(GATEWAY_EVENTS.orderSent, {
      server: engine.id,
      stage,
      fence: epoch,
      expectedSequence,
      wantedPrefill: change.wantedPrefill,
      currentPrefill: change.currentPrefill,
    });
    this.#options.onOrderSent(stage);
    const order = { stage, holder: daemon, fence: epoch, expectedSequence };
    const answer = await this.#callEngine(engine, 'order', codec.orderStage(order, engine.id));
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
      const isGone = fleet.directory.get(engine.id) === undefined;
      if (isGone || fleet.directory.isSuperseded(engine)) return;
      const report = await this.#readReport(engine);
      // An order is forgotten with the life that took it.
      if (report !== undefined && this.#isOtherLife(engine, report)) return;
      if (report === undefined || report.isBusy || report.stage !== stage) continue;
      this.#tellStage({ engineId: engine.id, stage, phase: 'changed' });
      const elapsedMs = Math.round(timers.nowMs() - startedAtMs);
      log.write(GATEWAY_EVENTS.stageChanged, { server: engine.id, stage, elapsedMs });
      return;
    }
  }

  /** Whether a report is of another life than the one that was planned with; its order sequence began anew. */
  #isOtherLife(engine: ServerRecord, { bornMs }: EngineReport): boolean {
    if (this.#options.fleet.directory.isSuperseded(engine)) return true;
    return bornMs !== undefined && engine.bornMs !== undefined && bornMs !== engine.bornMs;
  }

  #tellStage(notice: StageNotice): void {
    const { fleet, timers, broadcastStage } = this.#options;
    fleet.stageNotices.apply(notice, timers.nowMs());
    broadcastStage(notice);
  }

  async #readReport(engine: ServerRecord): Promise<EngineReport | undefined> {
    const { codec } = this.#options;
    const answer = await this.#callEngine(engine, 'report', codec.report(engine.id));
    return answer.body === undefined ? undefined : codec.readReport(answer.body);
  }

  #callEngine(engine: ServerRecord, purpose: CallPurpose, call: EngineCall): Promise<EngineAnswer> {
    const { calls, timers } = this.#options;
    return callWithTimeout(timers, ORDER_TIMEOUT_MS, undefined, async (signal) => {
      const result = await calls.call({
        ...call,
        server: engine,
        purpose,
        request: '',
        mayKeepConnection: false,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        signal,
      });
      if (result.kind !== 'answered') return { outcome: result.reason, body: undefined };
      const body = await result.answer.collect(MAX_ANSWER_BYTES);
      return { outcome: result.answer.status, body };
    });
  }
}
