/**
 * Requests to model engines: the prompt is read at one engine and goes on at another, or a decode
 * engine does both. Memory that is not used is freed. A stream that breaks goes on at another
 * engine where its route allows it, and otherwise ends visibly broken.
 */
import {
  chooseDecodeEngine,
  type EngineChoiceInput,
  type EnginePlan,
  isRepeatable,
  moveMs,
  planModelRequest,
  readPriority,
  type ServerRecord,
  sharedPart,
} from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import { withoutConnectionHeaders } from '../http/headers.js';
import {
  type AnsweredAttempt,
  type AttemptContext,
  type AttemptOptions,
  engineTraits,
  hasNotRun,
  plainAttempt,
  promisesNotRun,
  sendAttempt,
  wholeOutcome,
} from './attempt.js';
import type { Exchange } from './exchange.js';
import type { MemorySource } from './ports.js';
import { freeMemory, type PrefillPlan, readPrompt } from './prompt-reading.js';
import { StreamRelay } from './stream-relay.js';

const MAX_ERROR_BYTES = 1_048_576;
/** Turned down or out of reach this often, a request is refused. */
const MAX_TURNED_DOWN = 3;
const RETRY_AFTER_MS = 300;
/** Another daemon takes the request at once. */
const STOPPING_RETRY_AFTER_MS = 50;
/** A request is taken to be in time when it is expected within this part of its target. */
const IN_TIME_SHARE = 0.9;
/** From here on a prompt is work for an engine that only reads. */
const LONG_PROMPT_TOKENS = 1_000;

/** Runs a model request to its final answer. */
export async function runModelExchange(exchange: Exchange, context: AttemptContext): Promise<void> {
  await new ModelRun(exchange, context).run();
}

/** What to do after a step. */
type NextStep = 'done' | 'again';

class ModelRun {
  readonly #exchange: Exchange;
  readonly #context: AttemptContext;
  readonly #relay: StreamRelay;
  readonly #isRepeatable: boolean;
  #turnedDown = 0;
  #isDemandNoted = false;
  #prefillFailed = false;
  #way = 'direct';
  #lastReason = 'no engine';

  constructor(exchange: Exchange, context: AttemptContext) {
    this.#exchange = exchange;
    this.#context = context;
    this.#relay = new StreamRelay(exchange, () => this.#way);
    this.#isRepeatable = isRepeatable(exchange.options.route);
  }

  async run(): Promise<void> {
    this.#context.fleet.budgetOf(this.#exchange.options.service).countRequest();
    if (this.#isCutByStop()) {
      this.#exchange.refuse(
        'this daemon stops before the stream could end',
        STOPPING_RETRY_AFTER_MS,
      );
      return;
    }
    let next: NextStep = 'again';
    while (next === 'again') next = await this.#step();
  }

  /** Whether a stream that begins now is expected to go on when this daemon has to end. */
  #isCutByStop(): boolean {
    const { stopsAtMs, service, description } = this.#exchange.options;
    const stopMs = stopsAtMs();
    if (stopMs === undefined) return false;
    const speed = this.#context.fleet.speedOf(service);
    return this.#nowMs() + description.maxOutputTokens * speed.tokenMs > stopMs;
  }

  async #step(): Promise<NextStep> {
    const exchange = this.#exchange;
    if (exchange.signal.aborted) return this.#endInterrupted();
    if (!this.#mayRunOnceMore()) return this.#giveUp();
    const input = this.#choiceInput();
    const plan = this.#plan(input);
    if (plan === undefined) return this.#giveUp();
    this.#logPlan(plan);
    this.#noteDemand(plan);
    switch (plan.kind) {
      case 'direct':
        return this.#run(plan.server, undefined, plan.fetchFrom?.address, plan);
      case 'prefill':
        return this.#prefillAndRun(plan);
    }
  }

  #plan(input: EngineChoiceInput): EnginePlan | undefined {
    if (!this.#prefillFailed) return planModelRequest(input);
    const candidates = input.candidates.filter((server) => server.stage !== 'prefill');
    return planModelRequest({ ...input, candidates });
  }

  async #prefillAndRun(plan: PrefillPlan): Promise<NextStep> {
    this.#way = 'hand-over';
    const source = plan.prefill.server;
    const memory = await readPrompt(this.#exchange, this.#context, plan, this.#priority(plan));
    if (memory === undefined) {
      this.#prefillFailed = true;
      this.#way = 'direct';
      return 'again';
    }
    if (this.#exchange.signal.aborted) {
      this.#freeUnused(memory, plan);
      return this.#endInterrupted();
    }
    // The list may have changed while the prompt was read.
    const server = chooseDecodeEngine(this.#choiceInput(), source);
    if (server === undefined) {
      this.#freeUnused(memory, plan);
      return this.#giveUp();
    }
    return this.#run(server, memory, undefined, plan);
  }

  /** Lets an engine generate and passes its stream on. */
  async #run(
    server: ServerRecord,
    memorySource: MemorySource | undefined,
    fetchFrom: string | undefined,
    plan: EnginePlan,
  ): Promise<NextStep> {
    const exchange = this.#exchange;
    exchange.beginRun(server.id);
    const load = this.#context.fleet.loadOf(server.id);
    const read = plan.kind === 'direct' ? load.begin(plan.read, this.#nowMs()) : undefined;
    load.running += 1;
    const options: AttemptOptions = {
      ...plainAttempt(server, exchange.signal),
      mayKeepConnection: this.#isRepeatable,
      priority: this.#runPriority(plan),
      memorySource,
      fetchFrom,
      resumeAfterEventId: this.#relay.lastEventId,
      expectedMs: plan.kind === 'direct' ? plan.expectedMs : 0,
    };
    const startedAtMs = this.#nowMs();
    const result = await sendAttempt(exchange, this.#context, options);
    if (result.kind === 'answered') this.#learn(plan, memorySource, this.#nowMs() - startedAtMs);
    if (read !== undefined) load.abandon(read);
    exchange.endRun(hasNotRun(result));
    if (result.kind === 'answered') {
      const headAtMs = this.#nowMs();
      const next = await this.#relayAnswer(result.attempt);
      this.#learnRun(this.#nowMs() - headAtMs);
      load.running -= 1;
      return next;
    }
    load.running -= 1;
    this.#freeUnused(memorySource, plan);
    this.#lastReason = 'reason' in result ? result.reason : `status ${result.status}`;
    if (result.kind === 'no-budget') return this.#giveUp();
    if (result.kind === 'broken') return 'again';
    this.#turnedDown += 1;
    // The memory may be what could not be had: the next engine reads the prompt by itself.
    if (memorySource !== undefined) {
      this.#prefillFailed = true;
      exchange.triedServerIds.delete(server.id);
    }
    return 'again';
  }

  /** The head of an answer comes with the first token. */
  #learn(plan: EnginePlan, memory: MemorySource | undefined, elapsedMs: number): void {
    const speed = this.#context.fleet.speedOf(this.#exchange.options.service);
    if (memory !== undefined) speed.learnHandOver(elapsedMs);
    else if (plan.kind === 'direct') speed.learnDecode(plan.missingTokens, elapsedMs);
  }

  /** Memory that was read for this request and that no engine goes on from. */
  #freeUnused(memory: MemorySource | undefined, plan: EnginePlan): void {
    if (memory === undefined || plan.kind !== 'prefill') return;
    freeMemory(this.#exchange, this.#context, memory, plan.prefill.server);
  }

  async #relayAnswer(attempt: AnsweredAttempt): Promise<NextStep> {
    const exchange = this.#exchange;
    const { answer } = attempt;
    if (answer.status < 200 || answer.status >= 300) return this.#passFailureOn(attempt);
    if (!attempt.isStamped) {
      this.#lastReason = 'a success without a stamp';
      attempt.end({ kind: 'bad', reason: this.#lastReason });
      answer.destroy();
      return 'again';
    }
    const { description } = exchange.options;
    this.#context.fleet.knowledge.assume(attempt.server.id, description.promptParts, this.#nowMs());
    const relayed = await this.#relay.relay(attempt);
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

  /** The engine's own failure, which the caller gets unless another engine may try. */
  async #passFailureOn(attempt: AnsweredAttempt): Promise<NextStep> {
    const { answer } = attempt;
    const body = await answer.collect(MAX_ERROR_BYTES);
    this.#lastReason = `status ${answer.status}`;
    attempt.end(
      body === undefined ? { kind: 'bad', reason: this.#lastReason } : wholeOutcome(answer.status),
    );
    if (this.#exchange.signal.aborted) return this.#endInterrupted();
    const isFinal = !this.#mayRunOnceMore() && !this.#relay.hasBegun;
    if (body === undefined || !isFinal || promisesNotRun(answer.status)) return 'again';
    const headers = withoutConnectionHeaders(answer.message.rawHeaders);
    this.#exchange.answer({
      status: answer.status,
      headers,
      body,
      serverId: attempt.server.id,
      isEndedByClose: answer.isEndedByClose,
    });
    return 'done';
  }

  #mayRunOnceMore(): boolean {
    const exchange = this.#exchange;
    if (exchange.mayHaveRun && !this.#isRepeatable) return false;
    if (this.#turnedDown > MAX_TURNED_DOWN) return false;
    if (exchange.runs >= Math.max(1, exchange.options.route.attempts)) return false;
    return !this.#relay.hasBegun || this.#relay.lastEventId !== undefined;
  }

  #giveUp(): NextStep {
    const exchange = this.#exchange;
    if (exchange.signal.aborted) return this.#endInterrupted();
    if (exchange.isAnswered) exchange.breakOff(this.#lastReason);
    else exchange.refuse(this.#lastReason, RETRY_AFTER_MS);
    return 'done';
  }

  #endInterrupted(): NextStep {
    this.#exchange.endInterrupted();
    return 'done';
  }

  #choiceInput(): EngineChoiceInput {
    const { fleet, zone } = this.#context;
    const { service, description, route } = this.#exchange.options;
    const traits = engineTraits(this.#exchange);
    const speed = fleet.speedOf(service);
    if (traits !== undefined) speed.suppose(traits.kvTokens / traits.slots, route.targetLatencyMs);
    return {
      candidates: fleet.candidates(service, this.#nowMs()),
      excludedIds: this.#exchange.triedServerIds,
      description,
      zone,
      nowMs: this.#nowMs(),
      knowledge: fleet.knowledge,
      peerLoads: fleet.peerLoads,
      speed,
      waitFactor: (urgency) => fleet.waitScaleOf(service, urgency).factor(this.#nowMs()),
      inTimeMs: IN_TIME_SHARE * route.targetLatencyMs - this.#exchange.elapsedMs(),
      shortReadsPerMs: fleet.shortReadsPerMs(service, this.#nowMs()),
      kvTokenBytes: traits?.kvTokenBytes ?? 0,
      linkMbps: traits?.linkMbps ?? 1,
      healthOf: (id) => fleet.healthOf(id),
      loadOf: (id) => fleet.loadOf(id),
    };
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
    });
  }

  #learnRun(elapsedMs: number): void {
    const { service, description } = this.#exchange.options;
    if (!this.#exchange.signal.aborted) {
      this.#context.fleet.speedOf(service).learnRun(description.maxOutputTokens, elapsedMs);
    }
  }

  /** The work that a request asks for, whichever way it goes. */
  #noteDemand(plan: EnginePlan): void {
    if (this.#isDemandNoted) return;
    this.#isDemandNoted = true;
    const { service, description } = this.#exchange.options;
    const { fleet } = this.#context;
    const missing = plan.kind === 'direct' ? plan.missingTokens : plan.prefill.missingTokens;
    const speed = fleet.speedOf(service);
    const isLong = missing >= LONG_PROMPT_TOKENS;
    const traits = engineTraits(this.#exchange);
    const handedOverMs = traits === undefined ? 0 : moveMs(description.promptTokens, traits);
    const slots = traits?.slots ?? 1;
    const generateMs = (description.maxOutputTokens * speed.tokenMs) / slots;
    const work = isLong
      ? { prefillMs: speed.prefillBusyMs(missing), decodeMs: handedOverMs + generateMs }
      : { prefillMs: 0, decodeMs: speed.decodeBusyMs(missing) + generateMs };
    fleet.demandOf(service).note(isLong ? 'long-prompt' : 'short-prompt', work, this.#nowMs());
  }

  #priority(plan: EnginePlan): number {
    const { route } = this.#exchange.options;
    const readShareOfTarget = plan.read.readMs / route.targetLatencyMs;
    return readPriority({ rank: route.priority, urgency: plan.read.urgency, readShareOfTarget });
  }

  /** A prompt that was read is nearly done: it goes on before those that are not. */
  #runPriority(plan: EnginePlan): number {
    if (plan.kind === 'direct') return this.#priority(plan);
    const { route } = this.#exchange.options;
    return readPriority({ rank: route.priority, urgency: 'in-time', readShareOfTarget: 0 });
  }

  #nowMs(): number {
    return this.#exchange.options.timers.nowMs();
  }
}
