/**
 * Carries out one stage change: the engine is drained, its report read, the order sent with the lease's epoch as its
 * fencing token, and the engine polled until it reports the new stage. The other daemons are notified meanwhile.
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

/** Interval at which an ordered engine is polled for the end of its change, and the notice to the others repeated. */
const FOLLOW_INTERVAL_MS = 400;
/** A change that takes longer is no longer polled for; the platform's list of servers shows it later. */
const MAX_FOLLOWED_SWITCHES = 5;
const MAX_FOLLOWED_MS = 5_000;
const ORDER_TIMEOUT_MS = 1_000;
const CONNECT_TIMEOUT_MS = 300;
const MAX_ANSWER_BYTES = 65_536;
const STATUS_ACCEPTED = 202;

/** Dependencies of the orders. */
export interface StageOrdersOptions {
  readonly daemon: string;
  readonly fleet: FleetView;
  readonly calls: Pick<ServerCalls, 'call'>;
  readonly codec: RequestCodec;
  /** Sends the other daemons a notice on an engine's stage change. */
  readonly broadcastStage: (notice: StageNotice) => void;
  /** The epoch of the lease; undefined while this daemon does not hold it. */
  readonly currentEpoch: () => number | undefined;
  /** Called before an order is sent. */
  readonly onOrderSent: (stage: EngineStage) => void;
  readonly timers: TimerService;
  readonly log: GatewayLog;
}

interface EngineAnswer {
  /** The status, or the reason why there is none. */
  readonly outcome: number | string;
  readonly body: Buffer | undefined;
}

/** Sends orders to engines; the caller holds the lease. */
export class StageOrders {
  readonly #options: StageOrdersOptions;
  #isStopped = false;

  constructor(options: StageOrdersOptions) {
    this.#options = options;
  }

  /** Stops polling the ordered engines; orders that were sent stay valid. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Drains an engine, sends the order if the lease still holds after that, and polls until the change is over. */
  async order(change: StageChange, epoch: number, drainMs: number): Promise<void> {
    const { daemon, codec, fleet, timers, log } = this.#options;
    const { engine, stage } = change;
    this.#advertiseStage({ engineId: engine.id, stage, phase: 'changing' });
    await delay(timers, drainMs);
    const report = await this.#readReport(engine);
    // While the engine drained and reported, the lease may have expired or the engine restarted.
    if (report === undefined || report.isBusy || report.stage === stage) return;
    if (this.#isOtherBoot(engine, report)) return;
    if (this.#options.currentEpoch() !== epoch) return;
    // A server that leaves would list itself again at the end of the change.
    if (fleet.departures.refusalOf(engine, false) !== undefined) return;
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

  /** Repeats the notice that an engine is changing until the engine reports the new stage. */
  async #follow(engine: ServerRecord, stage: EngineStage): Promise<void> {
    const { timers, fleet, log } = this.#options;
    const startedAtMs = timers.nowMs();
    const traits = fleet.inForce?.configuration.services.get(engine.service)?.engine;
    const maxFollowMs = MAX_FOLLOWED_MS + MAX_FOLLOWED_SWITCHES * (traits?.roleSwitchMs ?? 0);
    while (!this.#isStopped && timers.nowMs() - startedAtMs < maxFollowMs) {
      this.#advertiseStage({ engineId: engine.id, stage, phase: 'changing' });
      await delay(timers, FOLLOW_INTERVAL_MS);
      const isRemoved = fleet.directory.get(engine.id) === undefined;
      if (isRemoved || fleet.directory.isSuperseded(engine)) return;
      const report = await this.#readReport(engine);
      // A restarted engine has lost the order.
      if (report !== undefined && this.#isOtherBoot(engine, report)) return;
      if (report === undefined || report.isBusy || report.stage !== stage) continue;
      this.#advertiseStage({ engineId: engine.id, stage, phase: 'changed' });
      const elapsedMs = Math.round(timers.nowMs() - startedAtMs);
      log.write(GATEWAY_EVENTS.stageChanged, { server: engine.id, stage, elapsedMs });
      return;
    }
  }

  /** Whether the engine was restarted since the change was planned; a new boot counts its orders from the start. */
  #isOtherBoot(engine: ServerRecord, { bornMs }: EngineReport): boolean {
    if (this.#options.fleet.directory.isSuperseded(engine)) return true;
    return bornMs !== undefined && engine.bornMs !== undefined && bornMs !== engine.bornMs;
  }

  #advertiseStage(notice: StageNotice): void {
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
