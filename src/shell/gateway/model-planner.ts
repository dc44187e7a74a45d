/**
 * Plans one model request from what the daemon believes, and tells those beliefs how it went: the plan and
 * its priorities, the work that it asks of each stage, and the times that were seen.
 */
import {
  type ArrivalRefusal,
  chooseDecodeEngine,
  type EngineChoiceInput,
  type EnginePlan,
  kvTransferMs,
  planModelRequest,
  promptPriority,
  type ReadSpeed,
  refusalOnArrival,
  type ServerRecord,
  type Spread,
  sharedPart,
} from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import { type AttemptContext, engineTraits } from './attempt.js';
import type { Exchange } from './exchange.js';
import { ModelAdmissionCheck } from './model-admission-check.js';
import { hadShortQueue } from './prefill.js';

/** A request is taken to be in time when it is expected within this part of its target. */
const IN_TIME_SHARE = 0.9;
/** Streams often take so much longer than those of their size did on average. */
const STREAM_SPREAD = 2;
/** From here on a prompt is work for an engine that only reads. */
const LONG_PROMPT_TOKENS = 1_000;

/** How a run came to its engine: with the memory of another, or as planned. */
export type RunWay = EnginePlan['kind'] | 'hand-over';

/** What a plan may use. */
export interface PlanLimits {
  /** False once a reading at another engine came to nothing. */
  readonly mayPrefill: boolean;
}

/** The planning of one exchange. */
export class ModelPlanner {
  readonly #exchange: Exchange;
  readonly #context: AttemptContext;
  #isDemandNoted = false;

  constructor(exchange: Exchange, context: AttemptContext) {
    this.#exchange = exchange;
    this.#context = context;
  }

  /** The best way to run the request now; undefined when no engine that generates is left. */
  plan(limits: PlanLimits): EnginePlan | undefined {
    const plan = this.#bestPlan(limits);
    if (plan === undefined) return undefined;
    this.#logPlan(plan);
    this.#noteDemand(plan);
    return plan;
  }

  /** What the request asks of the waiting room; undefined when no engine that generates is left. */
  admissionCheck(limits: PlanLimits): ModelAdmissionCheck | undefined {
    const first = this.#bestPlan(limits);
    if (first === undefined) return undefined;
    this.#noteDemand(first);
    return new ModelAdmissionCheck(this.#exchange, this.#context, {
      first,
      latencyBudgetMs: IN_TIME_SHARE * this.#exchange.options.route.targetLatencyMs,
      replan: () => this.#bestPlan(limits),
      logPlan: (plan) => this.#logPlan(plan),
    });
  }

  #bestPlan(limits: PlanLimits): EnginePlan | undefined {
    const { fleet } = this.#context;
    return this.#planAmong(fleet.candidates(this.#service, this.#nowMs()), limits);
  }

  #planAmong(engines: readonly ServerRecord[], { mayPrefill }: PlanLimits): EnginePlan | undefined {
    const candidates = engines.filter(({ stage }) => mayPrefill || stage !== 'prefill');
    return planModelRequest({ ...this.#choiceInput(), candidates });
  }

  /**
   * The engines at their limit that the request would go to if they took more. Where its prompt is read elsewhere, the
   * one that goes on only counts where no other is left, as its permit would be too old by then.
   */
  limitedChoice(limits: PlanLimits): readonly ServerRecord[] {
    const { fleet } = this.#context;
    const nowMs = this.#nowMs();
    const atLimit = fleet.serversAtLimit(this.#service, nowMs);
    if (atLimit.length === 0) return [];
    const candidates = fleet.candidatesWithLimited(this.#service, nowMs);
    const plan = this.#planAmong(candidates, limits);
    if (plan === undefined) return [];
    const first = plan.kind === 'direct' ? plan.server : plan.prefill.server;
    const next = plan.kind === 'direct' ? [] : this.limitedRunChoice(first, 'no-other');
    return [...atLimit.filter(({ id }) => id === first.id), ...next];
  }

  /**
   * The engine at its limit that would go on from a prompt read at `source` if it took more.
   * @param where 'no-other': only where no engine is left that goes on without a permit
   */
  limitedRunChoice(source: ServerRecord, where: 'any' | 'no-other'): readonly ServerRecord[] {
    const { fleet } = this.#context;
    const nowMs = this.#nowMs();
    const atLimit = fleet.serversAtLimit(this.#service, nowMs);
    if (atLimit.length === 0) return [];
    if (where === 'no-other' && this.decodeEngineAfter(source) !== undefined) return [];
    const candidates = fleet.candidatesWithLimited(this.#service, nowMs);
    const chosen = chooseDecodeEngine({ ...this.#choiceInput(), candidates }, source);
    return atLimit.filter(({ id }) => id === chosen?.id);
  }

  /** The engine that goes on from a prompt read at `source`, by the list as it is now. */
  decodeEngineAfter(source: ServerRecord): ServerRecord | undefined {
    return chooseDecodeEngine(this.#choiceInput(), source);
  }

  /** Whether a stream that begins now is expected to go on when this daemon has to end. */
  isCutByStop(): boolean {
    const { stopsAtMs, description } = this.#exchange.options;
    const stopMs = stopsAtMs();
    if (stopMs === undefined) return false;
    const runMs = STREAM_SPREAD * description.maxOutputTokens * this.#speed.tokenMs;
    return this.#nowMs() + runMs > stopMs;
  }

  /** Whether the request is refused before it is sent anywhere. */
  refusalOf(plan: EnginePlan): ArrivalRefusal | undefined {
    const exchange = this.#exchange;
    return refusalOnArrival({
      plan,
      remainingMs: exchange.remainingMs(),
      latencyBudgetMs: IN_TIME_SHARE * exchange.options.route.targetLatencyMs,
      isLearnt: this.#speed.isLearnt,
      mayHaveRun: exchange.mayHaveRun,
    });
  }

  /** The priority of reading the prompt. */
  priorityOf(plan: EnginePlan): number {
    const { route, rank } = this.#exchange.options;
    const readShareOfTarget = plan.read.readMs / route.targetLatencyMs;
    return promptPriority({ rank, urgency: plan.read.urgency, readShareOfTarget });
  }

  /** A prompt that was read is nearly done: it goes on before those that are not. */
  runPriorityOf(plan: EnginePlan): number {
    if (plan.kind === 'direct') return this.priorityOf(plan);
    const { rank } = this.#exchange.options;
    return promptPriority({ rank, urgency: 'in-time', readShareOfTarget: 0 });
  }

  /** The head of an answer came, and with it the first token. */
  recordResponseHead(way: RunWay, plan: EnginePlan, elapsedMs: number): void {
    if (way === 'hand-over') this.#speed.learnHandOver(elapsedMs);
    else if (plan.kind === 'direct') {
      const { server, missingTokens, read } = plan;
      const { paces } = this.#context.fleet;
      paces.learnDecode(server, missingTokens, elapsedMs, hadShortQueue(read), this.#nowMs());
    }
  }

  /** A run has ended, so long after its head. */
  recordRunEnd(elapsedMs: number): void {
    const { description } = this.#exchange.options;
    if (this.#exchange.signal.aborted) return;
    this.#speed.learnRun(description.maxOutputTokens, elapsedMs);
  }

  get #service(): string {
    return this.#exchange.options.service;
  }

  get #speed(): ReadSpeed {
    return this.#context.fleet.speedOf(this.#exchange.options.service);
  }

  #choiceInput(): EngineChoiceInput {
    const { fleet, zone } = this.#context;
    const { service, description, route } = this.#exchange.options;
    const traits = engineTraits(this.#exchange);
    const speed = this.#speed;
    if (traits !== undefined)
      speed.setInitialEstimate(traits.kvTokens / traits.slots, route.targetLatencyMs);
    return {
      candidates: fleet.candidates(service, this.#nowMs()),
      excludedIds: this.#exchange.triedServerIds,
      description,
      zone,
      nowMs: this.#nowMs(),
      prefixIndex: fleet.prefixIndex,
      peerLoads: fleet.peerLoads,
      speed,
      paceOf: fleet.paces.pacesOf(service),
      quantizedPaceOf: fleet.paces.quantizedPacesOf(service),
      waitFactor: (urgency) => fleet.waitScaleOf(service, urgency).factor(this.#nowMs()),
      latencyBudgetMs: IN_TIME_SHARE * route.targetLatencyMs - this.#exchange.elapsedMs(),
      shortReadsPerMs: fleet.demand.shortReadsPerMs(service, this.#nowMs()),
      kvTokenBytes: traits?.kvTokenBytes ?? 0,
      linkMbps: traits?.linkMbps ?? 1,
      healthOf: (id) => fleet.healthOf(id),
      loadOf: (id) => fleet.loadOf(id),
      spread: this.#spread(),
    };
  }

  #spread(): Spread | undefined {
    const { fleet, isSpreading } = this.#context;
    if (!isSpreading) return undefined;
    const unseen = fleet.demand.unseenOf(this.#exchange.options.service, this.#nowMs());
    return unseen === undefined ? undefined : { unseen, entropy: Math.random() };
  }

  #logPlan(plan: EnginePlan): void {
    const { log, description } = this.#exchange.options;
    const isDirect = plan.kind === 'direct';
    const shared = sharedPart(description.promptParts);
    log.write(GATEWAY_EVENTS.planChosen, {
      request: description.attemptId,
      way: plan.kind,
      server: isDirect ? plan.server.id : plan.prefill.server.id,
      urgency: plan.read.urgency,
      expectedMs: Math.round(plan.expectedMs),
      waitMs: Math.round(plan.read.waitMs),
      promptLength: description.promptTokens,
      sharedPart: shared?.id ?? '',
      sharedLength: shared?.tokens ?? 0,
      missing: isDirect ? plan.missingTokens : plan.prefill.missingTokens,
      fetchFrom: (isDirect ? plan.fetchFrom?.id : plan.prefill.fetchFrom?.id) ?? '',
      isSpread: plan.isSpread,
    });
  }

  /** The work that a request asks for, whichever way it goes. */
  #noteDemand(plan: EnginePlan): void {
    if (this.#isDemandNoted) return;
    this.#isDemandNoted = true;
    const { service, description } = this.#exchange.options;
    const { fleet } = this.#context;
    const missing = plan.kind === 'direct' ? plan.missingTokens : plan.prefill.missingTokens;
    const speed = this.#speed;
    const isLong = missing >= LONG_PROMPT_TOKENS;
    const traits = engineTraits(this.#exchange);
    const handedOverMs = traits === undefined ? 0 : kvTransferMs(description.promptTokens, traits);
    const slots = traits?.slots ?? 1;
    const generateMs = (description.maxOutputTokens * speed.tokenMs) / slots;
    const work = isLong
      ? { prefillMs: speed.prefillBusyMs(missing), decodeMs: handedOverMs + generateMs }
      : { prefillMs: 0, decodeMs: speed.decodeBusyMs(missing) + generateMs };
    fleet.demand
      .of(service)
      .recordRequest(isLong ? 'long-prompt' : 'short-prompt', work, this.#nowMs());
  }

  #nowMs(): number {
    return this.#exchange.options.timers.nowMs();
  }
}
