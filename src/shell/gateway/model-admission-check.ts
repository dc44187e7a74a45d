/** The admission check of a model request: each check plans the request anew and decides by the best plan. */
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

/** How the check plans the request. */
export interface ModelAdmissionCheckOptions {
  /** The plan for the first check. */
  readonly first: EnginePlan;
  /** An answer within this time of the arrival is in time. */
  readonly latencyBudgetMs: number;
  /** Plans the request anew; undefined where no engine is left. */
  replan(): EnginePlan | undefined;
  logPlan(plan: EnginePlan): void;
}

/** The admission check of one model request. */
export class ModelAdmissionCheck implements AdmissionCheck {
  readonly lane: string;
  readonly costMs: number;
  readonly spacingMs: number;
  readonly isSentAtHoldLimit = false;
  readonly #exchange: Exchange;
  readonly #context: AttemptContext;
  readonly #options: ModelAdmissionCheckOptions;
  #latestPlan: EnginePlan;
  #isFirstCheck = true;

  constructor(exchange: Exchange, context: AttemptContext, options: ModelAdmissionCheckOptions) {
    this.#exchange = exchange;
    this.#context = context;
    this.#options = options;
    const { service, route } = exchange.options;
    const { first } = options;
    this.lane = `${service}/${route.name}`;
    this.costMs = first.read.readMs;
    this.spacingMs = this.costMs * this.#daemonsPerEngine();
    this.#latestPlan = this.#atRank(first);
    this.#recordSlack(first);
  }

  decide(): Placement {
    const isFirst = this.#isFirstCheck;
    this.#isFirstCheck = false;
    if (!isFirst) {
      const plan = this.#options.replan();
      // No engine takes requests any more: the request is sent by its latest plan, fails and is refused without a wait.
      if (plan === undefined) return { kind: 'go', slackMs: undefined };
      this.#latestPlan = this.#atRank(plan);
    }
    const exchange = this.#exchange;
    const { rank, service } = exchange.options;
    const { fleet, admission } = this.#context;
    const { latencyBudgetMs } = this.#options;
    return placeRequest({
      plan: this.#latestPlan,
      remainingMs: exchange.remainingMs(),
      latencyBudgetMs,
      latencyBudgetLeftMs: latencyBudgetMs - exchange.elapsedMs(),
      urgentSlackMs: fleet.urgentSlackOf(service).minSlackMs(rank, this.#nowMs()),
      // A later check means that it is this request's turn: the others of its lane are behind it.
      isContended: isFirst && admission.waitingInLane(this.lane) > 0,
      isLearnt: fleet.speedOf(service).isLearnt,
      mayHaveRun: exchange.mayHaveRun,
    });
  }

  inputs(): LogFields {
    const nowMs = this.#nowMs();
    const { fleet } = this.#context;
    const { service, rank } = this.#exchange.options;
    const { expectedMs, read } = this.#latestPlan;
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
    const plan = this.#latestPlan;
    const server = plan.kind === 'direct' ? plan.server : plan.prefill.server;
    const load = this.#context.fleet.loadOf(server.id);
    const read = load.begin(plan.read, this.#nowMs());
    return () => load.abandon(read);
  }

  /** The plan to send the request by; to be called once, when it is sent. */
  plan(): EnginePlan {
    const { service, rank } = this.#exchange.options;
    this.#options.logPlan(this.#latestPlan);
    const { readMs } = this.#latestPlan.read;
    this.#context.fleet.rankSharesOf(service).recordRequest(rank, readMs, this.#nowMs());
    return this.#latestPlan;
  }

  /** The plan with its expected wait scaled to the request's rank. */
  #atRank(plan: EnginePlan): EnginePlan {
    const { service, rank } = this.#exchange.options;
    const factor = this.#context.fleet.rankSharesOf(service).waitFactor(rank);
    return planAtRank(plan, factor, this.#options.latencyBudgetMs - this.#exchange.elapsedMs());
  }

  /** Records how long a request of this rank could wait and be in time, which limits what less urgent ones may take. */
  #recordSlack({ read, expectedMs }: EnginePlan): void {
    const { service, rank } = this.#exchange.options;
    const slackMs = this.#options.latencyBudgetMs - (expectedMs - read.waitMs);
    this.#context.fleet.urgentSlackOf(service).recordRequest(rank, slackMs, this.#nowMs());
  }

  /** Daemons per engine, as callers that other daemons refuse come back to the same engines. */
  #daemonsPerEngine(): number {
    const { fleet } = this.#context;
    const engines = fleet.candidates(this.#exchange.options.service, this.#nowMs()).length;
    return (fleet.size.listed ?? 1) / Math.max(1, engines);
  }

  #nowMs(): number {
    return this.#exchange.options.timers.nowMs();
  }
}
