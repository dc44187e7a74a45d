/**
 * Plans one model request on the daemon's view of the fleet, and updates this view: with the demand of the request on
 * each stage, and with the times measured while it ran.
 */
import {
  type ArrivalRefusal,
  chooseDecodeEngine,
  type DurationEstimate,
  type EngineChoiceInput,
  type EnginePlan,
  kvTransferMs,
  planModelRequest,
  promptPriority,
  type ReadSpeed,
  refusalOnArrival,
  type ServerRecord,
  type Spread,
  serversForStream,
  sharedPart,
  UNKNOWN_DURATION,
} from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import { type AttemptContext, engineTraits } from './attempt.js';
import type { Exchange } from './exchange.js';
import { ModelAdmissionCheck } from './model-admission-check.js';
import { hadShortQueue } from './prefill.js';
import type { StreamOutlook } from './stream-waits.js';

/** A request counts as in time if its answer is expected within this share of the target latency. */
const IN_TIME_SHARE = 0.9;
/** Streams often take up to this many times the average for their size. */
const LONG_STREAM_FACTOR = 2;
/** A prompt with at least this many uncached tokens counts as work for a prefill engine. */
const LONG_PROMPT_TOKENS = 1_000;

/** From the loss of the last decode engine of a version until a prefill engine is ordered to take its place. */
const RECOVERY_ORDER_MS = 700;

/** How a run reached its engine: as planned, or handed over with the KV cache of another engine. */
export type RunWay = EnginePlan['kind'] | 'hand-over';

/** Restrictions on a plan. */
export interface PlanLimits {
  /** False once a prefill at another engine has failed. */
  readonly mayPrefill: boolean;
}

/** Plans one exchange. */
export class ModelPlanner {
  readonly #exchange: Exchange;
  readonly #context: AttemptContext;
  #isDemandRecorded = false;

  constructor(exchange: Exchange, context: AttemptContext) {
    this.#exchange = exchange;
    this.#context = context;
  }

  /** The best way to run the request now; undefined if no decode engine is left. */
  plan(limits: PlanLimits): EnginePlan | undefined {
    const plan = this.#bestPlan(limits);
    if (plan === undefined) return undefined;
    this.#logPlan(plan);
    this.#recordDemand(plan);
    return plan;
  }

  /** The admission check of the request; undefined if no decode engine is left. */
  admissionCheck(limits: PlanLimits): ModelAdmissionCheck | undefined {
    const first = this.#bestPlan(limits);
    if (first === undefined) return undefined;
    this.#recordDemand(first);
    return new ModelAdmissionCheck(this.#exchange, this.#context, {
      first,
      latencyBudgetMs: IN_TIME_SHARE * this.#exchange.options.route.targetLatencyMs,
      replan: () => this.#bestPlan(limits),
      logPlan: (plan) => this.#logPlan(plan),
    });
  }

  #bestPlan(limits: PlanLimits): EnginePlan | undefined {
    return this.#planAmong(this.#candidates(), limits);
  }

  #planAmong(engines: readonly ServerRecord[], { mayPrefill }: PlanLimits): EnginePlan | undefined {
    const candidates = engines.filter(({ stage }) => mayPrefill || stage !== 'prefill');
    return planModelRequest({ ...this.#choiceInput(), candidates });
  }

  /**
   * The engines to request permits for: those at their limit that the request would otherwise be sent to. After a
   * prefill at another engine, the decode engine is included only if none is usable without a permit: a permit granted
   * now would expire during the prefill.
   */
  limitedChoice(limits: PlanLimits): readonly ServerRecord[] {
    const atLimit = this.#serversAtLimit();
    if (atLimit.length === 0) return [];
    const plan = this.#planAmong(this.#candidatesWithLimited(), limits);
    if (plan === undefined) return [];
    const first = plan.kind === 'direct' ? plan.server : plan.prefill.server;
    const next = plan.kind === 'direct' ? [] : this.limitedRunChoice(first, 'no-other');
    return [...atLimit.filter(({ id }) => id === first.id), ...next];
  }

  /**
   * The decode engine at its limit that would continue after a prefill at `source` if it accepted more requests.
   * @param where 'no-other': only if no decode engine is usable without a permit
   */
  limitedRunChoice(source: ServerRecord, where: 'any' | 'no-other'): readonly ServerRecord[] {
    const atLimit = this.#serversAtLimit();
    if (atLimit.length === 0) return [];
    if (where === 'no-other' && this.decodeEngineAfter(source) !== undefined) return [];
    const candidates = this.#candidatesWithLimited();
    const chosen = chooseDecodeEngine({ ...this.#choiceInput(), candidates }, source);
    return atLimit.filter(({ id }) => id === chosen?.id);
  }

  /** The decode engine that continues after a prefill at `source`, chosen among the current candidates. */
  decodeEngineAfter(source: ServerRecord): ServerRecord | undefined {
    return chooseDecodeEngine(this.#choiceInput(), source);
  }

  /** Whether a permit for an engine that generates would let the request go on. */
  mayWaitForPermit(): boolean {
    return this.#serversAtLimit().some(({ stage }) => stage !== 'prefill');
  }

  /**
   * What a stream that has begun may expect of the engines of its version, of which it can go on at those that decode.
   * @param rejectingIds engines that rejected it for want of room
   */
  streamOutlook(rejectingIds: ReadonlySet<string>): StreamOutlook {
    const { streamOrigin, triedServerIds } = this.#exchange;
    if (streamOrigin === undefined) return { kind: 'none' };
    const isUntried = ({ id }: ServerRecord) => !triedServerIds.has(id);
    if (this.#candidates().some((engine) => engine.stage === 'decode' && isUntried(engine))) {
      return { kind: 'usable' };
    }
    const { fleet } = this.#context;
    const nowMs = this.#nowMs();
    const open = this.#forStream(fleet.expectedServers(this.#service, nowMs)).filter(
      (engine) =>
        fleet.isReachable(engine.id, nowMs) && fleet.availabilityOf(engine, nowMs).kind === 'open',
    );
    if (open.some(({ id }) => rejectingIds.has(id))) return { kind: 'expected', inMs: 0 };
    if (!open.some(isUntried)) return { kind: 'none' };
    const switchMs = engineTraits(this.#exchange)?.roleSwitchMs ?? 0;
    return { kind: 'expected', inMs: RECOVERY_ORDER_MS + switchMs };
  }

  /** How long the request is expected to take by a plan: the wait, the prompt and the stream. */
  durationBy(plan: EnginePlan): DurationEstimate {
    const isReadLearnt = plan.kind === 'direct' || this.#speed.isLearnt;
    return isReadLearnt ? this.#durationFrom(plan.expectedMs) : UNKNOWN_DURATION;
  }

  /** How long the request is expected to take by the best plan now; unknown if no engine is usable. */
  durationNow(limits: PlanLimits): DurationEstimate {
    const plan = this.#bestPlan(limits);
    return plan === undefined ? UNKNOWN_DURATION : this.durationBy(plan);
  }

  /** How long the request is expected to take once its prompt has been read at a prefill engine. */
  durationAfterPrefill(): DurationEstimate {
    return this.#durationFrom(this.#speed.handOverMs);
  }

  #durationFrom(firstTokenMs: number): DurationEstimate {
    const { isRunLearnt, tokenMs } = this.#speed;
    if (!isRunLearnt) return UNKNOWN_DURATION;
    const { maxOutputTokens } = this.#exchange.options.description;
    const streamMs = maxOutputTokens * tokenMs;
    return {
      kind: 'learnt',
      expectedMs: firstTokenMs + streamMs,
      longMs: firstTokenMs + LONG_STREAM_FACTOR * streamMs,
    };
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

  /** The priority of the prefill. */
  priorityOf(plan: EnginePlan): number {
    const { route, rank } = this.#exchange.options;
    const readShareOfTarget = plan.read.readMs / route.targetLatencyMs;
    return promptPriority({ rank, urgency: plan.read.urgency, readShareOfTarget });
  }

  /** The priority of the run; after a prefill it precedes requests whose prompts are still to be read. */
  runPriorityOf(plan: EnginePlan): number {
    if (plan.kind === 'direct') return this.priorityOf(plan);
    const { rank } = this.#exchange.options;
    return promptPriority({ rank, urgency: 'in-time', readShareOfTarget: 0 });
  }

  /** Learns from the time until the head of an answer, which comes with the first token. */
  recordResponseHead(way: RunWay, plan: EnginePlan, elapsedMs: number): void {
    if (way === 'hand-over') this.#speed.learnHandOver(elapsedMs);
    else if (plan.kind === 'direct') {
      const { server, missingTokens, read } = plan;
      const { paces } = this.#context.fleet;
      paces.learnDecode(server, missingTokens, elapsedMs, hadShortQueue(read), this.#nowMs());
    }
  }

  /** Learns from the time between the head of an answer and the end of its run. */
  recordRunEnd(elapsedMs: number): void {
    const { description } = this.#exchange.options;
    if (this.#exchange.signal.aborted) return;
    this.#speed.learnRun(description.maxOutputTokens, elapsedMs);
  }

  /** The engines that may take the request now; a stream that has begun goes on at a draining one rather than nowhere. */
  #candidates(): readonly ServerRecord[] {
    const { fleet } = this.#context;
    const nowMs = this.#nowMs();
    const candidates = this.#forStream(fleet.candidates(this.#service, nowMs));
    const { streamOrigin, triedServerIds } = this.#exchange;
    const isUsable = ({ id, stage }: ServerRecord) => stage === 'decode' && !triedServerIds.has(id);
    if (streamOrigin === undefined || candidates.some(isUsable)) return candidates;
    const draining = fleet.resumableWhileDraining(this.#service, nowMs);
    return [...candidates, ...this.#forStream(draining)];
  }

  #candidatesWithLimited(): readonly ServerRecord[] {
    return this.#forStream(this.#context.fleet.candidatesWithLimited(this.#service, this.#nowMs()));
  }

  #serversAtLimit(): readonly ServerRecord[] {
    return this.#forStream(this.#context.fleet.serversAtLimit(this.#service, this.#nowMs()));
  }

  #forStream(engines: readonly ServerRecord[]): readonly ServerRecord[] {
    return serversForStream(engines, this.#exchange.streamOrigin);
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
      candidates: this.#candidates(),
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

  /** Records the demand of the request on each stage, once, whichever way it is sent. */
  #recordDemand(plan: EnginePlan): void {
    if (this.#isDemandRecorded) return;
    this.#isDemandRecorded = true;
    const { service, description } = this.#exchange.options;
    const { fleet } = this.#context;
    const missing = plan.kind === 'direct' ? plan.missingTokens : plan.prefill.missingTokens;
    const speed = this.#speed;
    const isLong = missing >= LONG_PROMPT_TOKENS;
    const traits = engineTraits(this.#exchange);
    const handoverMs = traits === undefined ? 0 : kvTransferMs(description.promptTokens, traits);
    const slots = traits?.slots ?? 1;
    const generateMs = (description.maxOutputTokens * speed.tokenMs) / slots;
    const work = isLong
      ? { prefillMs: speed.prefillBusyMs(missing), decodeMs: handoverMs + generateMs }
      : { prefillMs: 0, decodeMs: speed.decodeBusyMs(missing) + generateMs };
    fleet.demand
      .of(service)
      .recordRequest(isLong ? 'long-prompt' : 'short-prompt', work, this.#nowMs());
  }

  #nowMs(): number {
    return this.#exchange.options.timers.nowMs();
  }
}
