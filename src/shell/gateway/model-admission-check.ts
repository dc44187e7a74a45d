/** What a model request asks of the waiting room: its place by the best plan there is, planned anew each time. */
import {
  type EnginePlan,
  type Placement,
  placeRequest,
  planAtRank,
} from '../../core/gateway/index.js';
import type { LogFields } from '../../core/logging/log-event.js';
import { type AdmissionCheck, roundedOrNull } from './admission-check.js';
import type { AttemptContext } from './attempt.js';
import type { Exchange } from './exchange.js';

/** How the request is planned. */
export interface ModelAdmissionCheckOptions {
  /** The plan that was made just now. */
  readonly first: EnginePlan;
  /** Within this an answer is in time. */
  readonly latencyBudgetMs: number;
  /** Undefined where no engine is left. */
  replan(): EnginePlan | undefined;
  logPlan(plan: EnginePlan): void;
}

/** The ask of one request. */
export class ModelAdmissionCheck implements AdmissionCheck {
  readonly lane: string;
  readonly costMs: number;
  readonly spacingMs: number;
  readonly isSentAtHoldLimit = false;
  readonly #exchange: Exchange;
  readonly #context: AttemptContext;
  readonly #options: ModelAdmissionCheckOptions;
  #latest: EnginePlan;
  #isFirst = true;

  constructor(exchange: Exchange, context: AttemptContext, options: ModelAdmissionCheckOptions) {
    this.#exchange = exchange;
    this.#context = context;
    this.#options = options;
    const { service, route } = exchange.options;
    const { first } = options;
    this.lane = `${service}/${route.name}`;
    this.costMs = first.read.readMs;
    this.spacingMs = this.costMs * this.#daemonsForEachEngine();
    this.#latest = this.#atRank(first);
    this.#noteSlack(first);
  }

  place(): Placement {
    const isFirst = this.#isFirst;
    this.#isFirst = false;
    if (!isFirst) {
      const plan = this.#options.replan();
      // No engine takes work any more: it goes by its last plan, which fails, and is refused at once.
      if (plan === undefined) return { kind: 'go', slackMs: undefined };
      this.#latest = this.#atRank(plan);
    }
    const exchange = this.#exchange;
    const { rank, service } = exchange.options;
    const { fleet, admission } = this.#context;
    const { latencyBudgetMs } = this.#options;
    return placeRequest({
      plan: this.#latest,
      remainingMs: exchange.remainingMs(),
      latencyBudgetMs,
      latencyBudgetLeftMs: latencyBudgetMs - exchange.elapsedMs(),
      urgentSlackMs: fleet.urgentSlackOf(service).minSlackMs(rank, this.#nowMs()),
      // Asked again it is its turn: those that wait are behind it.
      isContended: isFirst && admission.waitingIn(this.lane) > 0,
      isLearnt: fleet.speedOf(service).isLearnt,
      mayHaveRun: exchange.mayHaveRun,
    });
  }

  inputs(): LogFields {
    const nowMs = this.#nowMs();
    const { fleet } = this.#context;
    const { service, rank } = this.#exchange.options;
    const { expectedMs, read } = this.#latest;
    const urgentSlackMs = fleet.urgentSlackOf(service).minSlackMs(rank, nowMs);
    const sumsAgeMs = fleet.peerLoads.newestAgeMs(nowMs);
    return {
      urgency: read.urgency,
      expectedMs: Math.round(expectedMs),
      queueMs: Math.round(read.waitMs),
      urgentSlackMs: roundedOrNull(urgentSlackMs),
      rankFactor: Math.round(fleet.rankSharesOf(service).waitFactor(rank) * 100) / 100,
      sumsAgeMs: roundedOrNull(sumsAgeMs),
    };
  }

  reserve(): () => void {
    const plan = this.#latest;
    const server = plan.kind === 'direct' ? plan.server : plan.prefill.server;
    const load = this.#context.fleet.loadOf(server.id);
    const read = load.begin(plan.read, this.#nowMs());
    return () => load.abandon(read);
  }

  /** The plan by which it goes; to be asked for once, when it is sent. */
  plan(): EnginePlan {
    const { service, rank } = this.#exchange.options;
    this.#options.logPlan(this.#latest);
    const { readMs } = this.#latest.read;
    this.#context.fleet.rankSharesOf(service).recordRequest(rank, readMs, this.#nowMs());
    return this.#latest;
  }

  /** The plan with the wait that a request of this rank has there. */
  #atRank(plan: EnginePlan): EnginePlan {
    const { service, rank } = this.#exchange.options;
    const factor = this.#context.fleet.rankSharesOf(service).waitFactor(rank);
    return planAtRank(plan, factor, this.#options.latencyBudgetMs - this.#exchange.elapsedMs());
  }

  /** How long a request of this kind could wait and be in time, for less urgent ones to leave it. */
  #noteSlack({ read, expectedMs }: EnginePlan): void {
    const { service, rank } = this.#exchange.options;
    const slackMs = this.#options.latencyBudgetMs - (expectedMs - read.waitMs);
    this.#context.fleet.urgentSlackOf(service).recordRequest(rank, slackMs, this.#nowMs());
  }

  /** Requests refused by all daemons come back to the same engines. */
  #daemonsForEachEngine(): number {
    const { fleet } = this.#context;
    const engines = fleet.candidates(this.#exchange.options.service, this.#nowMs()).length;
    return (fleet.size.listed ?? 1) / Math.max(1, engines);
  }

  #nowMs(): number {
    return this.#exchange.options.timers.nowMs();
  }
}
