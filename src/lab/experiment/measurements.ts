/** Measures a run from the events that callers and engines see, checked by the simulation's oracle. */
import type { AttemptId, BackendName, DaemonName, OrderId } from '../../core/common/identifiers.js';
import type { Milliseconds } from '../../core/common/time.js';
import type { ChangeOutcome } from '../../core/configuration/index.js';
import type { Order, OrderAnswer } from '../../core/orders/index.js';
import { DurationHistogram } from '../common/duration-histogram.js';
import type {
  BrokenPromise,
  CallerOutcome,
  FleetObserver,
  IssuedRequest,
  Oracle,
} from '../simulation/index.js';
import type { GoodputFigures } from './result.js';

/** Counts since the last point of the time series. */
export interface IntervalCounts {
  finishedTokens: number;
  finishedRequests: number;
  arrivedPromptTokens: number;
  arrivedOutputTokens: number;
}

type Ending = 'finished' | 'refused' | 'unknown' | 'cut' | 'wrong';

const MS_PER_SECOND = 1_000;
const COUNTED_ELSEWHERE: ReadonlySet<BrokenPromise> = new Set([
  'planned-change-cut',
  'foreign-or-partial-answer',
]);
const MAX_VIOLATIONS = 5;

/** The measurements of one run, in virtual time. Forwards every event to the oracle. */
export class Measurements implements FleetObserver {
  readonly firstTokens = new DurationHistogram();
  readonly tokenGaps = new DurationHistogram();
  readonly intervalFirstTokens = new DurationHistogram();
  readonly intervalTokenGaps = new DurationHistogram();
  readonly codes: Record<string, number> = {};
  readonly endings: Record<Ending, number> = {
    finished: 0,
    refused: 0,
    unknown: 0,
    cut: 0,
    wrong: 0,
  };
  roleChanges = 0;
  sent = 0;
  interval: IntervalCounts = emptyInterval();
  #offeredTokens = 0;
  #finishedInTime = { tokens: 0, requests: 0 };
  #endOfSending = Number.POSITIVE_INFINITY;
  readonly #lastReceivedAt = new Map<IssuedRequest, Milliseconds>();
  readonly #roleOrders = new Set<OrderId>();

  constructor(
    private readonly oracle: Oracle,
    private readonly now: () => Milliseconds,
  ) {}

  /** The number of requests that have not ended yet. */
  get open(): number {
    return this.#lastReceivedAt.size;
  }

  /** Sets the time after which answers that end do not count as goodput. */
  setEndOfSending(at: Milliseconds): void {
    this.#endOfSending = at;
  }

  /** Returns the counts since the last call and resets them. */
  takeInterval(): IntervalCounts {
    const counts = this.interval;
    this.interval = emptyInterval();
    this.intervalFirstTokens.reset();
    this.intervalTokenGaps.reset();
    return counts;
  }

  /** The requested tokens and requests per second, over the time in which requests were sent. */
  offered(durationMs: Milliseconds): GoodputFigures {
    return perSecond({ tokens: this.#offeredTokens, requests: this.sent }, durationMs);
  }

  /** The finished tokens and requests per second, over the same time. */
  goodput(durationMs: Milliseconds): GoodputFigures {
    return perSecond(this.#finishedInTime, durationMs);
  }

  /** The number of attempts that an order interrupted. */
  get plannedCuts(): number {
    const cuts = this.oracle.violations.filter(({ promise }) => promise === 'planned-change-cut');
    return cuts.length;
  }

  /** The first broken promises that no other figure counts, at most `MAX_VIOLATIONS`. */
  otherViolations(): readonly string[] {
    return this.oracle.violations
      .filter(({ promise }) => !COUNTED_ELSEWHERE.has(promise))
      .slice(0, MAX_VIOLATIONS)
      .map(({ promise, at, detail }) => `${promise} at ${Math.round(at)} ms: ${detail}`);
  }

  requestIssued(request: IssuedRequest): void {
    this.oracle.requestIssued(request);
    this.sent += 1;
    this.#offeredTokens += request.outputTokens;
    this.interval.arrivedOutputTokens += request.outputTokens;
    this.interval.arrivedPromptTokens += promptTokensOf(request);
    this.#lastReceivedAt.set(request, request.issuedAt);
  }

  tokenReceived(request: IssuedRequest): void {
    const lastReceivedAt = this.#lastReceivedAt.get(request);
    if (!request.description.streamed || lastReceivedAt === undefined) return;
    const gapMs = this.now() - lastReceivedAt;
    const isFirst = lastReceivedAt === request.issuedAt;
    (isFirst ? this.firstTokens : this.tokenGaps).record(gapMs);
    (isFirst ? this.intervalFirstTokens : this.intervalTokenGaps).record(gapMs);
    this.#lastReceivedAt.set(request, this.now());
  }

  requestEnded(request: IssuedRequest, outcome: CallerOutcome): void {
    const known = this.oracle.violations.length;
    this.oracle.requestEnded(request, outcome);
    const isWrong = this.oracle.violations
      .slice(known)
      .some(({ promise }) => promise === 'foreign-or-partial-answer');
    this.#lastReceivedAt.delete(request);
    const ending = isWrong ? 'wrong' : endingOf(outcome);
    this.endings[ending] += 1;
    if (ending === 'finished') this.#countFinished(request);
    if (outcome.kind === 'failed') this.#countCode(outcome.fault.code);
  }

  attemptAccepted(engine: BackendName, attempt: AttemptId): void {
    this.oracle.attemptAccepted(engine, attempt);
  }

  attemptCut(engine: BackendName, attempt: AttemptId): void {
    this.oracle.attemptCut(engine, attempt);
  }

  orderAnswered(order: Order, answer: OrderAnswer): void {
    this.oracle.orderAnswered(order, answer);
    const runs = answer.kind === 'accepted' && answer.state === 'running';
    if (runs && order.action.kind === 'set-role') this.#roleOrders.add(order.id);
  }

  orderEnded(engine: BackendName, order: OrderId, state: 'done' | 'failed'): void {
    this.oracle.orderEnded(engine, order);
    if (this.#roleOrders.delete(order) && state === 'done') this.roleChanges += 1;
  }

  configurationInForce(daemon: DaemonName, version: number): void {
    this.oracle.configurationInForce(daemon, version);
  }

  changeAnswered(daemon: DaemonName, outcome: ChangeOutcome): void {
    this.oracle.changeAnswered(daemon, outcome);
  }

  #countFinished({ outputTokens }: IssuedRequest): void {
    this.interval.finishedTokens += outputTokens;
    this.interval.finishedRequests += 1;
    if (this.now() > this.#endOfSending) return;
    this.#finishedInTime.tokens += outputTokens;
    this.#finishedInTime.requests += 1;
  }

  #countCode(code: string): void {
    this.codes[code] = (this.codes[code] ?? 0) + 1;
  }
}

function endingOf(outcome: CallerOutcome): Ending {
  switch (outcome.kind) {
    case 'answered':
    case 'replayed':
      return 'finished';
    case 'unreachable':
      return 'refused';
    case 'disconnected':
      return outcome.tokens.length > 0 ? 'cut' : 'unknown';
    case 'failed':
      if (outcome.fault.outcome === 'refused-not-run') return 'refused';
      return outcome.tokens.length > 0 ? 'cut' : 'unknown';
  }
}

function promptTokensOf({ description: { target } }: IssuedRequest): number {
  return target.kind === 'model' ? target.promptTokens : 0;
}

function emptyInterval(): IntervalCounts {
  return {
    finishedTokens: 0,
    finishedRequests: 0,
    arrivedPromptTokens: 0,
    arrivedOutputTokens: 0,
  };
}

function perSecond(
  { tokens, requests }: { readonly tokens: number; readonly requests: number },
  durationMs: Milliseconds,
): GoodputFigures {
  const seconds = durationMs / MS_PER_SECOND;
  return { tokens_per_second: tokens / seconds, requests_per_second: requests / seconds };
}
