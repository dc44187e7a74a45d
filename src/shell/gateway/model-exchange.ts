/**
 * Requests to model engines: one engine runs the prefill and another decodes, or a decode engine does both. KV memory
 * that no engine decodes from is freed. A stream that breaks is resumed at another engine where its route allows it;
 * otherwise the caller's connection is closed, so that the stream does not look complete.
 */
import { type EnginePlan, isRepeatable, type ServerRecord } from '../../core/gateway/index.js';
import {
  type AnswerOutcome,
  completeAnswerOutcome,
  NO_MEMORY_REASON,
  statusImpliesNotExecuted,
} from './answer-outcome.js';
import {
  type AnsweredAttempt,
  type AttemptContext,
  type AttemptOptions,
  type AttemptResult,
  defaultAttemptOptions,
  hasNotRun,
  sendAttempt,
} from './attempt.js';
import type { BackendAnswer } from './backend-answer.js';
import type { Exchange } from './exchange.js';
import type { PermitReservation } from './limit-coordinator.js';
import { ModelPlanner, type PlanLimits } from './model-planner.js';
import { permitWaitRequestOf } from './permit-wait-request.js';
import type { HandoverSource } from './ports.js';
import { freeKvMemory, type PrefillPlan, runPrefill } from './prefill.js';
import { refuseUnavailable } from './refuse-unavailable.js';
import { isCutByStop, refuseIfCutByStop } from './stop-check.js';
import { StreamRelay } from './stream-relay.js';

const MAX_ERROR_BYTES = 1_048_576;
const STATUS_UNAVAILABLE = 503;
/** A request is refused after more rejections and failed connections than this. */
const MAX_REJECTIONS = 3;

/** Runs a model request to its final answer. */
export async function runModelExchange(exchange: Exchange, context: AttemptContext): Promise<void> {
  await new ModelRun(exchange, context).run();
}

/** Whether the request has ended or takes another step. */
type NextStep = 'done' | 'again';

class ModelRun {
  readonly #exchange: Exchange;
  readonly #context: AttemptContext;
  readonly #planner: ModelPlanner;
  readonly #relay: StreamRelay;
  readonly #isRepeatable: boolean;
  readonly #durationAfterPrefill = () => this.#planner.durationAfterPrefill();
  #rejections = 0;
  /** Engines that rejected the request for want of room. */
  readonly #fullEngineIds = new Set<string>();
  #prefillFailed = false;
  #way = 'direct';
  #lastReason = 'no engine';

  constructor(exchange: Exchange, context: AttemptContext) {
    this.#exchange = exchange;
    this.#context = context;
    this.#planner = new ModelPlanner(exchange, context);
    this.#relay = new StreamRelay(
      exchange,
      () => this.#way,
      ({ server }) => context.streams.recordFirstEvent(exchange, server),
      () => context.crashes.recordFirstEvent(exchange),
    );
    this.#isRepeatable = isRepeatable(exchange.options.route);
  }

  async run(): Promise<void> {
    const { service } = this.#exchange.options;
    this.#exchange.countRequest(this.#context.fleet.budgetOf(service));
    this.#context.limits.recordArrival(service);
    let next = await this.#step();
    while (next === 'again') {
      // A request that crashed its last server may be quarantined, so the check of that server comes before the next one.
      await this.#context.crashes.whenChecked(this.#exchange);
      next = await this.#step();
    }
  }

  async #step(): Promise<NextStep> {
    const exchange = this.#exchange;
    if (exchange.signal.aborted) return this.#endInterrupted();
    if (!this.#mayRunAgain() || this.#mustForward) return this.#giveUp();
    if (this.#refuseIfCutByStop()) return 'done';
    const plan = await this.#planWhenAdmitted();
    if (plan === 'no-room') return exchange.signal.aborted ? this.#endInterrupted() : 'done';
    if (plan === undefined) {
      return (await this.#waitForStreamEngine()) ? 'again' : this.#giveUpWithoutEngine();
    }
    if (refuseIfCutByStop(exchange, () => this.#planner.durationBy(plan))) return 'done';
    switch (plan.kind) {
      case 'direct':
        return this.#run(plan.server, undefined, plan.fetchFrom?.address, plan);
      case 'prefill':
        return this.#prefillAndRun(plan);
    }
  }

  /** The plan to follow, once there is capacity and a permit; undefined when no engine is left. */
  async #planWhenAdmitted(): Promise<EnginePlan | 'no-room' | undefined> {
    const { limits } = this.#context;
    for (;;) {
      const wanted = this.#planner.limitedChoice(this.#planLimits);
      if (wanted.length > 0) await limits.requestPermits(wanted);
      if (this.#exchange.signal.aborted) return 'no-room';
      const plan = await this.#admitPlan();
      if (plan !== undefined) return plan;
      if (!this.#planner.mayWaitForPermit()) return undefined;
      if (!(await limits.waitForPermit(permitWaitRequestOf(this.#exchange)))) return undefined;
    }
  }

  /** @returns whether an engine of the version of a stream that has begun can be sent it, after a wait if necessary */
  #waitForStreamEngine(): Promise<boolean> {
    return this.#context.streamWaits.wait(this.#exchange, () => {
      const outlook = this.#planner.streamOutlook(this.#fullEngineIds);
      // A full engine has room again as soon as one of its requests ends.
      for (const id of this.#fullEngineIds) this.#exchange.triedServerIds.delete(id);
      this.#fullEngineIds.clear();
      return outlook;
    });
  }

  get #planLimits(): PlanLimits {
    return { mayPrefill: !this.#prefillFailed && this.#exchange.mayPrefill };
  }

  async #admitPlan(): Promise<EnginePlan | 'no-room' | undefined> {
    const exchange = this.#exchange;
    const { admission } = this.#context;
    const limits = this.#planLimits;
    if (!admission.isOn || this.#mustGoOn) return this.#planWithoutWaiting(limits);
    const check = this.#planner.admissionCheck(limits);
    if (check === undefined) return undefined;
    const release = await admission.admit(exchange, check);
    if (release === undefined) return 'no-room';
    release();
    return exchange.signal.aborted ? 'no-room' : check.plan();
  }

  #planWithoutWaiting(limits: PlanLimits): EnginePlan | 'no-room' | undefined {
    const exchange = this.#exchange;
    const plan = this.#planner.plan(limits);
    if (plan === undefined) return undefined;
    const refusal = this.#planner.refusalOf(plan);
    if (refusal === undefined || this.#mustGoOn) return plan;
    exchange.refuse('no engine is expected to answer in time', refusal.retryAfterMs);
    return 'no-room';
  }

  async #prefillAndRun(plan: PrefillPlan): Promise<NextStep> {
    this.#way = 'hand-over';
    const source = plan.prefill.server;
    const priority = this.#planner.priorityOf(plan);
    const permit = this.#reservePermit(source);
    const memory = await runPrefill(this.#exchange, this.#context, plan, priority);
    if (memory === undefined || memory === 'held-back') {
      this.#context.limits.returnPermits(permit);
      // When the prefill was only held back, another prefill engine may still take it.
      if (memory === undefined) this.#prefillFailed = true;
      this.#way = 'direct';
      return 'again';
    }
    if (this.#exchange.signal.aborted) {
      this.#context.limits.returnPermits(permit);
      this.#freeUnused(memory, plan);
      return this.#endInterrupted();
    }
    const server = await this.#decodeEngineFor(source, permit);
    if (refuseIfCutByStop(this.#exchange, this.#durationAfterPrefill)) {
      if (server === permit?.server) this.#context.limits.returnPermits(permit);
      this.#freeUnused(memory, plan);
      return 'done';
    }
    if (server === undefined) {
      this.#freeUnused(memory, plan);
      this.#prefillFailed = true;
      this.#way = 'direct';
      return 'again';
    }
    if (this.#context.crashes.isQuarantined(this.#exchange)) {
      this.#freeUnused(memory, plan);
      return this.#giveUp();
    }
    return this.#run(server, memory, undefined, plan, server === permit?.server);
  }

  #reservePermit(source: ServerRecord): PermitReservation | undefined {
    const { service } = this.#exchange.options;
    return this.#context.limits.reservePermit(service, () =>
      this.#planner.decodeEngineAfter(source),
    );
  }

  /** The decode engine after the prefill; the server list and the permits may have changed meanwhile. */
  async #decodeEngineFor(
    source: ServerRecord,
    permit: PermitReservation | undefined,
  ): Promise<ServerRecord | undefined> {
    const { limits } = this.#context;
    if (permit !== undefined && limits.isUsable(permit)) return permit.server;
    limits.returnPermits(permit);
    const wanted = this.#planner.limitedRunChoice(source, 'any');
    if (wanted.length > 0) await limits.requestPermits(wanted);
    const server = this.#planner.decodeEngineAfter(source);
    if (server !== undefined || !this.#planner.mayWaitForPermit()) return server;
    const mayTry = await limits.waitForPermit(permitWaitRequestOf(this.#exchange));
    return mayTry ? this.#planner.decodeEngineAfter(source) : undefined;
  }

  /** Sends the request to a decode engine and relays its stream. */
  async #run(
    server: ServerRecord,
    handoverSource: HandoverSource | undefined,
    fetchFrom: string | undefined,
    plan: EnginePlan,
    hasPermit = false,
  ): Promise<NextStep> {
    const exchange = this.#exchange;
    exchange.beginRun(server.id);
    const load = this.#context.fleet.loadOf(server.id);
    const read = plan.kind === 'direct' ? load.begin(plan.read, this.#nowMs()) : undefined;
    load.running += 1;
    const options: AttemptOptions = {
      ...defaultAttemptOptions(server, exchange.signal),
      mayKeepConnection: this.#isRepeatable,
      priority: this.#planner.runPriorityOf(plan),
      handoverSource,
      fetchFrom,
      resumeAfterEventId: this.#relay.lastEventId,
      expectedMs: plan.kind === 'direct' ? plan.expectedMs : 0,
      hasPermit,
    };
    const startedAtMs = this.#nowMs();
    const result = await sendAttempt(exchange, this.#context, options);
    if (result.kind === 'answered') {
      const way = handoverSource === undefined ? plan.kind : 'hand-over';
      this.#planner.recordResponseHead(way, plan, this.#nowMs() - startedAtMs);
    }
    if (read !== undefined) load.abandon(read);
    exchange.endRun(hasNotRun(result));
    this.#context.admission.wake();
    if (result.kind === 'answered') {
      const headAtMs = this.#nowMs();
      try {
        return await this.#relayAnswer(result.attempt);
      } finally {
        this.#planner.recordRunEnd(this.#nowMs() - headAtMs);
        load.running -= 1;
        this.#context.admission.wake();
      }
    }
    load.running -= 1;
    // The request was not sent to this engine, so it may be once the engine takes more.
    if (result.kind === 'held-back') exchange.triedServerIds.delete(server.id);
    const fallback = this.#fallbackEngine(result, handoverSource, plan);
    if (fallback !== undefined) return this.#run(fallback, handoverSource, undefined, plan);
    this.#freeUnused(handoverSource, plan);
    this.#lastReason = 'reason' in result ? result.reason : `status ${result.status}`;
    if (result.kind === 'no-budget') return this.#giveUp();
    if (result.kind === 'broken' || result.kind === 'held-back') return 'again';
    this.#rejections += 1;
    if (result.kind === 'not-executed' && result.status === STATUS_UNAVAILABLE) {
      this.#fullEngineIds.add(server.id);
    }
    // Fetching the KV memory may be what failed, so the next engine runs the prefill itself.
    if (handoverSource !== undefined) {
      this.#prefillFailed = true;
      exchange.triedServerIds.delete(server.id);
    }
    return 'again';
  }

  /** Another decode engine for the same KV memory, when the request did not reach the chosen one; undefined otherwise. */
  #fallbackEngine(
    result: AttemptResult,
    memory: HandoverSource | undefined,
    plan: EnginePlan,
  ): ServerRecord | undefined {
    const wasSent = result.kind !== 'not-sent' && result.kind !== 'held-back';
    if (wasSent || memory === undefined || plan.kind !== 'prefill') return undefined;
    if (result.kind === 'not-sent') this.#rejections += 1;
    if (this.#exchange.signal.aborted || !this.#mayRunAgain()) return undefined;
    if (isCutByStop(this.#exchange, this.#durationAfterPrefill)) return undefined;
    return this.#planner.decodeEngineAfter(plan.prefill.server);
  }

  /** Frees the KV memory of a prefill that no engine decodes from. */
  #freeUnused(memory: HandoverSource | undefined, plan: EnginePlan): void {
    if (memory === undefined || plan.kind !== 'prefill') return;
    freeKvMemory(this.#exchange, this.#context, memory, plan.prefill.server);
  }

  async #relayAnswer(attempt: AnsweredAttempt): Promise<NextStep> {
    const exchange = this.#exchange;
    const { answer } = attempt;
    if (answer.status < 200 || answer.status >= 300) return this.#forwardFailure(attempt);
    // An engine sends the response headers with the first token, so the run has just begun.
    this.#context.recordRunStart(exchange, 0);
    if (!attempt.isStamped) {
      this.#lastReason = 'a success without a stamp';
      attempt.end({ kind: 'bad', reason: this.#lastReason });
      answer.destroy();
      return 'again';
    }
    const { description } = exchange.options;
    this.#context.fleet.prefixIndex.assume(
      attempt.server.id,
      description.promptParts,
      this.#nowMs(),
    );
    const mayHaveCrashed = () => this.#context.mayHaveCrashed(attempt.server);
    const relayed = await this.#relay.relay({ ...attempt, mayHaveCrashed });
    switch (relayed) {
      case 'complete':
        this.#relay.complete(attempt);
        return 'done';
      case 'interrupted':
        return this.#endInterrupted();
      case 'broken':
        answer.destroy();
        this.#lastReason = 'the stream broke off';
        return 'again';
    }
  }

  /** Forwards an engine's error answer to the caller, unless another engine may try. */
  async #forwardFailure(attempt: AnsweredAttempt): Promise<NextStep> {
    const { answer } = attempt;
    const body = await answer.collect(MAX_ERROR_BYTES, this.#exchange.options.memory);
    this.#lastReason = answer.lacksMemory ? NO_MEMORY_REASON : `status ${answer.status}`;
    attempt.end(failureOutcome(answer, body !== undefined));
    if (this.#exchange.signal.aborted) return this.#endInterrupted();
    const isFinal = !this.#mayRunAgain() && !this.#relay.hasBegun;
    if (body === undefined || !isFinal || statusImpliesNotExecuted(answer.status)) return 'again';
    this.#exchange.answer({
      status: answer.status,
      headers: answer.forwardedHeaders,
      body,
      serverId: attempt.server.id,
      isCloseDelimited: answer.isCloseDelimited,
    });
    return 'done';
  }

  /** A stream that has begun is better continued late than not, and few servers can continue it. */
  get #mustGoOn(): boolean {
    return this.#exchange.isAnswered || this.#exchange.streamOrigin !== undefined;
  }

  #mayRunAgain(): boolean {
    const exchange = this.#exchange;
    if (this.#context.crashes.isQuarantined(exchange)) return false;
    if (exchange.mayHaveRun && !this.#isRepeatable) return false;
    if (this.#rejections > MAX_REJECTIONS) return false;
    if (exchange.attemptsLeft <= 0) return false;
    return !this.#relay.hasBegun || this.#relay.lastEventId !== undefined;
  }

  #refuseIfCutByStop(): boolean {
    return refuseIfCutByStop(this.#exchange, () => this.#planner.durationNow(this.#planLimits));
  }

  get #mustForward(): boolean {
    return this.#context.forwarding.isNeeded(this.#exchange);
  }

  /** No engine is left that may take the request. */
  #giveUpWithoutEngine(): Promise<NextStep> {
    const { streamOrigin } = this.#exchange;
    if (streamOrigin !== undefined) {
      this.#lastReason = `${this.#lastReason}; no engine of software version ${streamOrigin.softwareVersion} is left`;
    }
    return this.#giveUp();
  }

  async #giveUp(): Promise<NextStep> {
    const exchange = this.#exchange;
    if (exchange.signal.aborted) return this.#endInterrupted();
    if (exchange.isAnswered) exchange.abortResponse(this.#lastReason);
    else if (!this.#context.crashes.refuseIfQuarantined(exchange)) {
      if (this.#mustForward) await this.#context.forwarding.run(exchange, this.#context);
      else if (!this.#refuseIfCutByStop()) {
        refuseUnavailable(exchange, this.#context, this.#lastReason);
      }
    }
    return 'done';
  }

  #endInterrupted(): NextStep {
    this.#exchange.endInterrupted();
    return 'done';
  }

  #nowMs(): number {
    return this.#exchange.options.timers.nowMs();
  }
}

/** How an engine's error answer ended. */
function failureOutcome({ status, lacksMemory }: BackendAnswer, isWhole: boolean): AnswerOutcome {
  if (isWhole) return completeAnswerOutcome(status);
  if (lacksMemory) return { kind: 'not-held', reason: NO_MEMORY_REASON };
  return { kind: 'bad', reason: `status ${status}` };
}
