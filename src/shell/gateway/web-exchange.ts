/**
 * Requests to plain web servers, whose answers are buffered completely before they are forwarded. A repeatable request
 * that is slow or failed also goes to a second server, within the route's attempts and the retry budget; any other
 * request runs at most once.
 */
import {
  chooseWebServer,
  type DurationEstimate,
  isRepeatable,
  MAX_HOLD_SHARE,
  type ServerRecord,
} from '../../core/gateway/index.js';
import {
  completeAnswerOutcome,
  NO_MEMORY_REASON,
  statusImpliesNotExecuted,
} from './answer-outcome.js';
import {
  type AttemptContext,
  type AttemptResult,
  defaultAttemptOptions,
  hasNotRun,
  sendAttempt,
} from './attempt.js';
import type { CompleteAnswer, Exchange } from './exchange.js';
import { permitWaitRequestOf } from './permit-wait-request.js';
import { refuseUnavailable } from './refuse-unavailable.js';
import { isCutByStop, refuseIfCutByStop } from './stop-check.js';
import { webAdmissionCheck } from './web-admission-check.js';

const MAX_ANSWER_BYTES = 16_777_216;
/** A request is refused after more servers than this have rejected it or could not be reached. */
const MAX_REJECTIONS = 4;
/** A hedged request goes to a second server after this share of the target latency without an answer. */
const HEDGE_DELAY_SHARE = 0.45;
const MIN_HEDGE_DELAY_MS = 40;
/** Answers rarely take more than this many times the usual answer time. */
const LONG_ANSWER_FACTOR = 4;

type RunResult =
  | { readonly kind: 'whole'; readonly answer: CompleteAnswer }
  | Exclude<AttemptResult, { kind: 'answered' }>;

/** Runs a request to a web service up to its final answer. */
export async function runWebExchange(exchange: Exchange, context: AttemptContext): Promise<void> {
  await new WebRun(exchange, context).run();
}

class WebRun {
  readonly #exchange: Exchange;
  readonly #context: AttemptContext;
  readonly #isRepeatable: boolean;
  readonly #pending = new Set<Promise<RunResult>>();
  readonly #abandoned = new AbortController();
  /**
   * How long the request may take, up to its deadline: several times the target latency, or the answer time of the slowest
   * server where that is longer.
   */
  readonly #duration = (): DurationEstimate => {
    const { fleet } = this.#context;
    const { service, route } = this.#exchange.options;
    const learntMs = fleet
      .candidates(service, this.#nowMs())
      .flatMap(({ id }) => fleet.healthOf(id).responseMs ?? []);
    const remainingMs = this.#exchange.remainingMs();
    const usualMs = Math.max(route.targetLatencyMs, ...learntMs);
    return {
      kind: learntMs.length === 0 ? 'configured' : 'learnt',
      expectedMs: Math.min(usualMs, remainingMs),
      longMs: Math.min(LONG_ANSWER_FACTOR * usualMs, remainingMs),
    };
  };
  #rejections = 0;
  #lastFailure: CompleteAnswer | undefined;
  #lastReason = 'no server';

  constructor(exchange: Exchange, context: AttemptContext) {
    this.#exchange = exchange;
    this.#context = context;
    this.#isRepeatable = isRepeatable(exchange.options.route);
  }

  async run(): Promise<void> {
    if (refuseIfCutByStop(this.#exchange, this.#duration)) return;
    const abandon = () => this.#abandoned.abort();
    this.#exchange.signal.addEventListener('abort', abandon, { once: true });
    if (!(await this.#waitForAdmission())) return;
    if (!(await this.#startFirst())) return this.#giveUp();
    while (this.#pending.size > 0) {
      const result = await this.#nextResult();
      if (this.#exchange.signal.aborted) return this.#exchange.endInterrupted();
      if (result === 'hedge') {
        this.#startNext(false);
        continue;
      }
      if (await this.#handleResult(result)) break;
    }
    if (this.#pending.size > 0) this.#abandoned.abort();
    if (!this.#exchange.isAnswered) await this.#giveUp();
  }

  /** Handles the result of an attempt; returns whether the request has ended. */
  async #handleResult(result: RunResult): Promise<boolean> {
    if (result.kind === 'whole' && !this.#isWorthRetrying(result.answer)) {
      this.#exchange.answer(result.answer);
      return true;
    }
    if (result.kind === 'whole') this.#lastFailure = result.answer;
    else this.#lastReason = 'reason' in result ? result.reason : `status ${result.status}`;
    if (result.kind === 'not-executed' || result.kind === 'not-sent') this.#rejections += 1;
    if (this.#pending.size > 0 || result.kind === 'no-budget') return false;
    // A request that crashed its last server may be quarantined, so the check of that server comes before the next one.
    await this.#context.crashes.whenChecked(this.#exchange);
    if (this.#exchange.signal.aborted || this.#mustForward) return false;
    if (!(await this.#waitForAdmission())) return true;
    await this.#requestPermitIfNeeded();
    if (this.#exchange.signal.aborted) return false;
    this.#startNext(false);
    return false;
  }

  get #isHoldable(): boolean {
    const heldMs = MAX_HOLD_SHARE * this.#exchange.options.route.targetLatencyMs;
    return this.#context.admission.isOn && this.#exchange.elapsedMs() < heldMs;
  }

  /** Waits until a server is expected to have capacity; false when the request was refused or interrupted. */
  async #waitForAdmission(): Promise<boolean> {
    const exchange = this.#exchange;
    const { admission } = this.#context;
    if (!admission.isOn) return true;
    const release = await admission.admit(exchange, webAdmissionCheck(exchange, this.#context));
    if (release === undefined) {
      if (exchange.signal.aborted) exchange.endInterrupted();
      return false;
    }
    release();
    return true;
  }

  #isWorthRetrying(answer: CompleteAnswer): boolean {
    return this.#isRepeatable && (answer.status >= 500 || answer.isCloseDelimited);
  }

  get #mustForward(): boolean {
    return this.#context.forwarding.isNeeded(this.#exchange);
  }

  async #giveUp(): Promise<void> {
    const exchange = this.#exchange;
    if (exchange.signal.aborted) exchange.endInterrupted();
    else if (this.#lastFailure !== undefined) exchange.answer(this.#lastFailure);
    else if (!this.#context.crashes.refuseIfQuarantined(exchange)) {
      if (this.#mustForward) await this.#context.forwarding.run(exchange, this.#context);
      else if (!refuseIfCutByStop(exchange, this.#duration)) {
        refuseUnavailable(exchange, this.#context, this.#lastReason);
      }
    }
  }

  /** Starts the first attempt; where all remaining servers are at their limit, waits for a permit first. */
  async #startFirst(): Promise<boolean> {
    const exchange = this.#exchange;
    const { limits, crashes } = this.#context;
    limits.recordArrival(exchange.options.service);
    await this.#requestPermitIfNeeded();
    if (exchange.signal.aborted) return false;
    while (!this.#startNext(true)) {
      if (crashes.isQuarantined(exchange) || isCutByStop(exchange, this.#duration)) return false;
      if (!(await limits.waitForPermit(permitWaitRequestOf(exchange)))) return false;
    }
    return true;
  }

  /** Requests a permit where the request would go to a server that is at its limit. */
  async #requestPermitIfNeeded(): Promise<void> {
    const { fleet, limits } = this.#context;
    const { service, timers } = this.#exchange.options;
    const atLimit = fleet.serversAtLimit(service, timers.nowMs());
    if (atLimit.length === 0) return;
    const chosen = this.#choose(fleet.candidatesWithLimited(service, timers.nowMs()));
    await limits.requestPermits(atLimit.filter(({ id }) => id === chosen?.id));
  }

  #choose(candidates: readonly ServerRecord[]): ServerRecord | undefined {
    const { fleet, zone, webWork } = this.#context;
    const { service, timers } = this.#exchange.options;
    return chooseWebServer({
      candidates,
      excludedIds: this.#exchange.triedServerIds,
      zone,
      nowMs: timers.nowMs(),
      entropy: Math.random(),
      healthOf: (id) => fleet.healthOf(id),
      loadOf: webWork.loadsOf(service),
    });
  }

  #startNext(isFirst: boolean): boolean {
    const exchange = this.#exchange;
    const { service, timers } = exchange.options;
    const { fleet } = this.#context;
    if (this.#context.crashes.isQuarantined(exchange)) return false;
    if (!isFirst && exchange.mayHaveRun && !this.#isRepeatable) return false;
    if (exchange.attemptsLeft <= 0) return false;
    if (this.#rejections > MAX_REJECTIONS) return false;
    if (isCutByStop(exchange, this.#duration)) return false;
    const server = this.#choose(fleet.candidates(service, timers.nowMs()));
    if (server === undefined) return false;
    if (isFirst) exchange.countRequest(fleet.budgetOf(service));
    exchange.beginRun(server.id);
    const run = this.#runAt(server);
    this.#pending.add(run);
    const remove = () => this.#pending.delete(run);
    run.then(remove, remove);
    return true;
  }

  async #runAt(server: ServerRecord): Promise<RunResult> {
    const sentMs = this.#nowMs();
    const result = await sendAttempt(this.#exchange, this.#context, {
      ...defaultAttemptOptions(server, this.#abandoned.signal),
      mayKeepConnection: this.#isRepeatable,
    });
    this.#exchange.endRun(hasNotRun(result));
    this.#context.admission.wake();
    // The server did not run it and may have capacity after its back-off period, while the request can still be held.
    const mayRetrySameServer = result.kind === 'not-executed' && this.#isHoldable;
    if (mayRetrySameServer || result.kind === 'held-back') {
      this.#exchange.triedServerIds.delete(server.id);
    }
    if (!hasNotRun(result)) this.#context.recordRunStart(this.#exchange, this.#nowMs() - sentMs);
    if (result.kind !== 'answered') return result;
    const { answer, isStamped, end } = result.attempt;
    const body = await answer.collect(MAX_ANSWER_BYTES, this.#exchange.options.memory);
    const isSuccess = answer.status >= 200 && answer.status < 300;
    const broken = (reason: string): RunResult => {
      end({ kind: 'bad', reason });
      return { kind: 'broken', reason };
    };
    if (body === undefined && answer.lacksMemory) {
      end({ kind: 'not-held', reason: NO_MEMORY_REASON });
      return { kind: 'broken', reason: NO_MEMORY_REASON };
    }
    if (body === undefined) return broken('the answer broke off');
    // A crash closes connections as the end of an answer without a length does.
    if (answer.isCloseDelimited && (await this.#context.mayHaveCrashed(server))) {
      return broken('the server ended with its answer');
    }
    if (isSuccess && !isStamped) return broken('a success without a stamp');
    if (statusImpliesNotExecuted(answer.status))
      return broken(`status ${answer.status} without its promise`);
    end(completeAnswerOutcome(answer.status));
    return {
      kind: 'whole',
      answer: {
        status: answer.status,
        headers: answer.forwardedHeaders,
        body,
        serverId: server.id,
        isCloseDelimited: answer.isCloseDelimited,
      },
    };
  }

  #nowMs(): number {
    return this.#exchange.options.timers.nowMs();
  }

  /** The next result, or `hedge` when the request should also go to a second server. */
  #nextResult(): Promise<RunResult | 'hedge'> {
    const { route, timers } = this.#exchange.options;
    const results = [...this.#pending];
    const mayHedge = this.#isRepeatable && results.length === 1 && this.#exchange.attemptsLeft > 0;
    if (!mayHedge) return Promise.race(results);
    return new Promise((resolve, reject) => {
      const hedgeDelayMs = Math.max(MIN_HEDGE_DELAY_MS, route.targetLatencyMs * HEDGE_DELAY_SHARE);
      const cancel = timers.after(hedgeDelayMs, () => resolve('hedge'));
      Promise.race(results).then((result) => {
        cancel();
        resolve(result);
      }, reject);
    });
  }
}
