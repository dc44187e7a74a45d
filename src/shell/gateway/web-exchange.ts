/**
 * Requests to plain web servers, answered whole. A repeatable one that is slow or failed goes to a
 * second server, within the route's attempts and the retry budget; any other runs at most once.
 */
import {
  chooseWebServer,
  isRepeatable,
  MAX_HOLD_SHARE,
  type ServerRecord,
} from '../../core/gateway/index.js';
import { withoutConnectionHeaders } from '../http/headers.js';
import {
  type AttemptContext,
  type AttemptResult,
  completeAnswerOutcome,
  defaultAttemptOptions,
  hasNotRun,
  refuseUnavailable,
  sendAttempt,
  statusImpliesNotExecuted,
} from './attempt.js';
import type { CompleteAnswer, Exchange } from './exchange.js';
import { permitWaitRequestOf } from './limit-coordinator.js';
import { webAdmissionCheck } from './web-admission-check.js';

const MAX_ANSWER_BYTES = 16_777_216;
/** Servers that may turn a request down, or be out of reach, before it is refused. */
const MAX_TURNED_DOWN = 4;
/** A second server is asked when the first has been silent for this part of the target. */
const HEDGE_AFTER_TARGETS = 0.45;
const LEAST_HEDGE_MS = 40;

type RunResult =
  | { readonly kind: 'whole'; readonly answer: CompleteAnswer }
  | Exclude<AttemptResult, { kind: 'answered' }>;

/** Runs a request to its final answer. */
export async function runWebExchange(exchange: Exchange, context: AttemptContext): Promise<void> {
  await new WholeRun(exchange, context).run();
}

class WholeRun {
  readonly #exchange: Exchange;
  readonly #context: AttemptContext;
  readonly #isRepeatable: boolean;
  readonly #pending = new Set<Promise<RunResult>>();
  readonly #abandoned = new AbortController();
  #turnedDown = 0;
  #lastFailure: CompleteAnswer | undefined;
  #lastReason = 'no server';

  constructor(exchange: Exchange, context: AttemptContext) {
    this.#exchange = exchange;
    this.#context = context;
    this.#isRepeatable = isRepeatable(exchange.options.route);
  }

  async run(): Promise<void> {
    const abandon = () => this.#abandoned.abort();
    this.#exchange.signal.addEventListener('abort', abandon, { once: true });
    if (!(await this.#passRoom())) return;
    if (!(await this.#startFirst())) return this.#giveUp();
    while (this.#pending.size > 0) {
      const result = await this.#nextResult();
      if (this.#exchange.signal.aborted) return this.#exchange.endInterrupted();
      if (result === 'hedge') {
        this.#startNext(false);
        continue;
      }
      if (await this.#settle(result)) break;
    }
    if (this.#pending.size > 0) this.#abandoned.abort();
    if (!this.#exchange.isAnswered) this.#giveUp();
  }

  /** Whether the request has its answer. */
  async #settle(result: RunResult): Promise<boolean> {
    if (result.kind === 'whole' && !this.#isWorthRepeating(result.answer)) {
      this.#exchange.answer(result.answer);
      return true;
    }
    if (result.kind === 'whole') this.#lastFailure = result.answer;
    else this.#lastReason = 'reason' in result ? result.reason : `status ${result.status}`;
    if (result.kind === 'not-executed' || result.kind === 'not-sent') this.#turnedDown += 1;
    if (this.#pending.size > 0 || result.kind === 'no-budget') return false;
    // Whether its last server ended decides whether another one may be lost to it.
    await this.#context.crashes.whenChecked(this.#exchange);
    if (this.#exchange.signal.aborted) return false;
    if (!(await this.#passRoom())) return true;
    await this.#prepareLimited();
    if (this.#exchange.signal.aborted) return false;
    this.#startNext(false);
    return false;
  }

  get #mayBeHeld(): boolean {
    const heldMs = MAX_HOLD_SHARE * this.#exchange.options.route.targetLatencyMs;
    return this.#context.admission.isOn && this.#exchange.elapsedMs() < heldMs;
  }

  /** Waits until a server is expected to have room; false when the request has its end. */
  async #passRoom(): Promise<boolean> {
    const exchange = this.#exchange;
    const { admission } = this.#context;
    if (!admission.isOn) return true;
    const leave = await admission.admit(exchange, webAdmissionCheck(exchange, this.#context));
    if (leave === undefined) {
      if (exchange.signal.aborted) exchange.endInterrupted();
      return false;
    }
    leave();
    return true;
  }

  #isWorthRepeating(answer: CompleteAnswer): boolean {
    return this.#isRepeatable && (answer.status >= 500 || answer.isCloseDelimited);
  }

  #giveUp(): void {
    const exchange = this.#exchange;
    if (exchange.signal.aborted) exchange.endInterrupted();
    else if (this.#lastFailure !== undefined) exchange.answer(this.#lastFailure);
    else if (!this.#context.crashes.refuseIfQuarantined(exchange)) {
      refuseUnavailable(exchange, this.#context, this.#lastReason);
    }
  }

  /** Where only servers that name limits are left, it may wait for a permit. */
  async #startFirst(): Promise<boolean> {
    const exchange = this.#exchange;
    const { limits, crashes } = this.#context;
    limits.recordArrival(exchange.options.service);
    await this.#prepareLimited();
    if (exchange.signal.aborted) return false;
    while (!this.#startNext(true)) {
      if (crashes.isQuarantined(exchange)) return false;
      if (!(await limits.waitForPermit(permitWaitRequestOf(exchange)))) return false;
    }
    return true;
  }

  /** Asks for a permit where the request would go to a server that takes no more for now. */
  async #prepareLimited(): Promise<void> {
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
    const { route, service, timers } = exchange.options;
    const { fleet } = this.#context;
    if (this.#context.crashes.isQuarantined(exchange)) return false;
    if (!isFirst && exchange.mayHaveRun && !this.#isRepeatable) return false;
    if (exchange.runs >= Math.max(1, route.attempts)) return false;
    if (this.#turnedDown > MAX_TURNED_DOWN) return false;
    const server = this.#choose(fleet.candidates(service, timers.nowMs()));
    if (server === undefined) return false;
    if (isFirst) fleet.budgetOf(service).countRequest();
    exchange.beginRun(server.id);
    const run = this.#runAt(server);
    this.#pending.add(run);
    void run.finally(() => this.#pending.delete(run));
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
    // It has not run there, and while it may be held the server may have room for it after a rest.
    const mayComeBack = result.kind === 'not-executed' && this.#mayBeHeld;
    if (mayComeBack || result.kind === 'held-back') {
      this.#exchange.triedServerIds.delete(server.id);
    }
    if (!hasNotRun(result)) this.#context.recordRunStart(this.#exchange, this.#nowMs() - sentMs);
    if (result.kind !== 'answered') return result;
    const { answer, isStamped, end } = result.attempt;
    const body = await answer.collect(MAX_ANSWER_BYTES);
    const isSuccess = answer.status >= 200 && answer.status < 300;
    const broken = (reason: string): RunResult => {
      end({ kind: 'bad', reason });
      return { kind: 'broken', reason };
    };
    if (body === undefined) return broken('the answer broke off');
    if (isSuccess && !isStamped) return broken('a success without a stamp');
    if (statusImpliesNotExecuted(answer.status))
      return broken(`status ${answer.status} without its promise`);
    end(completeAnswerOutcome(answer.status));
    const headers = withoutConnectionHeaders(answer.message.rawHeaders);
    return {
      kind: 'whole',
      answer: {
        status: answer.status,
        headers,
        body,
        serverId: server.id,
        isCloseDelimited: answer.isCloseDelimited,
      },
    };
  }

  #nowMs(): number {
    return this.#exchange.options.timers.nowMs();
  }

  /** The next result, or that it is time to ask a second server beside the first. */
  #nextResult(): Promise<RunResult | 'hedge'> {
    const { route, timers } = this.#exchange.options;
    const results = [...this.#pending];
    const mayHedge =
      this.#isRepeatable && results.length === 1 && this.#exchange.runs < route.attempts;
    if (!mayHedge) return Promise.race(results);
    return new Promise((resolve, reject) => {
      const hedgeMs = Math.max(LEAST_HEDGE_MS, route.targetLatencyMs * HEDGE_AFTER_TARGETS);
      const cancel = timers.after(hedgeMs, () => resolve('hedge'));
      Promise.race(results).then((result) => {
        cancel();
        resolve(result);
      }, reject);
    });
  }
}
