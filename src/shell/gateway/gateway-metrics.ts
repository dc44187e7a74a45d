/**
 * Counters and latency histograms of a gateway, as Prometheus text.
 */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { RetryBudgetCounts } from '../../core/gateway/index.js';
import type { RequestPhase } from './request-progress.js';

const LATENCY_BUCKETS_SECONDS = [0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 5, 10];
const MILLISECONDS_PER_SECOND = 1_000;

/** How a request ended. */
export interface RequestEnd {
  readonly route: string;
  readonly kind: string;
  readonly outcome: string;
  readonly reason: string;
}

/** The metrics of one gateway. */
export class GatewayMetrics {
  readonly #registry = new Registry();
  readonly #requests = new Counter({
    name: 'threadfork_gateway_requests_total',
    help: 'Requests that have ended, by kind of route, outcome and cause of refusal or failure',
    labelNames: ['kind', 'outcome', 'reason'],
    registers: [this.#registry],
  });
  readonly #waits = new Histogram({
    name: 'threadfork_gateway_wait_seconds',
    help: 'Time that requests waited for room at a server before they went, by rank',
    labelNames: ['rank'],
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [this.#registry],
  });
  readonly #capacityRefusals = new Counter({
    name: 'threadfork_gateway_room_refusals_total',
    help: 'Requests refused for want of room, by reason and rank',
    labelNames: ['reason', 'rank'],
    registers: [this.#registry],
  });
  readonly #latency = new Histogram({
    name: 'threadfork_gateway_request_seconds',
    help: 'Time from arrival to end, by kind of route and outcome',
    labelNames: ['kind', 'outcome'],
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [this.#registry],
  });
  readonly #firstEvent = new Histogram({
    name: 'threadfork_gateway_first_event_seconds',
    help: 'Time from arrival to the first event of a stream',
    labelNames: ['way'],
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [this.#registry],
  });
  readonly #attempts = new Counter({
    name: 'threadfork_gateway_attempts_total',
    help: 'Calls to backends that have ended, by what came of them',
    labelNames: ['result'],
    registers: [this.#registry],
  });
  readonly #callerRefusals = new Counter({
    name: 'threadfork_gateway_caller_refusals_total',
    help: 'Callers that were refused or closed for what they sent, did not send or did not read, by reason',
    labelNames: ['reason'],
    registers: [this.#registry],
  });

  readonly #reportedAvailability = new Counter({
    name: 'threadfork_gateway_told_availability_total',
    help: 'Answers of servers that say that they leave, ask for rest, name, change or end a limit, or say so unreadably',
    labelNames: ['what'],
    registers: [this.#registry],
  });
  readonly #heldBack = new Counter({
    name: 'threadfork_gateway_calls_held_back_total',
    help: 'Calls that were not made as their server had said that it leaves, wants rest, or takes no more a second',
    labelNames: ['why'],
    registers: [this.#registry],
  });
  readonly #departures = new Histogram({
    name: 'threadfork_gateway_departure_known_seconds',
    help: 'Upper bound of the time from a row that says that a server departs until this daemon knew, by where it came from',
    labelNames: ['source'],
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [this.#registry],
  });
  readonly #datagramDelays = new Histogram({
    name: 'threadfork_gateway_datagram_delay_seconds',
    help: 'Upper bound of the time that datagrams of other daemons were on their way, by kind',
    labelNames: ['kind'],
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [this.#registry],
  });
  readonly #sentToDeparting = new Counter({
    name: 'threadfork_gateway_calls_to_departing_total',
    help: 'Requests of callers sent to servers that drain, or whose rows are gone, by state',
    labelNames: ['state'],
    registers: [this.#registry],
  });
  readonly #unansweredAtDeparture = new Counter({
    name: 'threadfork_gateway_calls_unanswered_at_departure_total',
    help: 'Requests of callers that a server had not answered when this daemon learned that it departs',
    registers: [this.#registry],
  });
  readonly #forwarded = new Counter({
    name: 'threadfork_gateway_forwarded_requests_total',
    help: 'Requests sent to other daemons as this one was cut off from all servers of their service',
    labelNames: ['result'],
    registers: [this.#registry],
  });
  readonly #resumptions = new Counter({
    name: 'threadfork_gateway_stream_resumptions_total',
    help: 'Streams that callers took up, by whether they go on, and how their software version is known or why they do not',
    labelNames: ['outcome', 'why'],
    registers: [this.#registry],
  });
  readonly #streamRecords = new Counter({
    name: 'threadfork_gateway_stream_records_total',
    help: 'Streams whose software version was sent to other daemons before their first event, by whether enough confirmed it',
    labelNames: ['result'],
    registers: [this.#registry],
  });
  readonly #callsToLimited = new Counter({
    name: 'threadfork_gateway_calls_to_limited_total',
    help: 'Requests of callers sent to servers that name a limit of requests a second',
    registers: [this.#registry],
  });
  readonly #permits = new Counter({
    name: 'threadfork_gateway_limit_permits_total',
    help: 'Requests to servers that name a limit for which this daemon asked, was granted, or gave back unused',
    labelNames: ['what'],
    registers: [this.#registry],
  });
  readonly #cutByStop = new Counter({
    name: 'threadfork_gateway_cut_by_stop_total',
    help: 'Requests whose answer had not ended when the stop of this daemon cut them, by what was being done for them',
    labelNames: ['phase'],
    registers: [this.#registry],
  });
  readonly #retryBudget = new Counter({
    name: 'threadfork_gateway_retry_budget_total',
    help: 'Requests that earned repeats, and repeats taken, given back and denied, by service',
    labelNames: ['service', 'what'],
    registers: [this.#registry],
  });
  readonly #retryBudgetLevel = new Gauge({
    name: 'threadfork_gateway_retry_budget_level',
    help: 'Repeats that this daemon could make now, by service',
    labelNames: ['service'],
    registers: [this.#registry],
  });

  recordRequest(end: RequestEnd, elapsedMs: number): void {
    this.#requests.inc({ kind: end.kind, outcome: end.outcome, reason: end.reason });
    this.#latency.observe(
      { kind: end.kind, outcome: end.outcome },
      elapsedMs / MILLISECONDS_PER_SECOND,
    );
  }

  recordFirstEvent(way: string, elapsedMs: number): void {
    this.#firstEvent.observe({ way }, elapsedMs / MILLISECONDS_PER_SECOND);
  }

  /** Records a request that was sent after waiting for capacity. */
  recordWait(rank: number, waitedMs: number): void {
    this.#waits.observe({ rank }, waitedMs / MILLISECONDS_PER_SECOND);
  }

  recordCapacityRefusal(reason: string, rank: number): void {
    this.#capacityRefusals.inc({ reason, rank });
  }

  recordAttempt(result: string): void {
    this.#attempts.inc({ result });
  }

  /** Records a caller that was refused, or whose connection was closed. */
  recordCallerRefusal(reason: string): void {
    this.#callerRefusals.inc({ reason });
  }

  /** Records what an answer reported about the availability of its server. */
  recordReportedAvailability(what: string): void {
    this.#reportedAvailability.inc({ what });
  }

  /** Records a call that was abandoned before it was sent. */
  recordHeldBack(why: string): void {
    this.#heldBack.inc({ why });
  }

  /** Records that this daemon has learned of a departure, and how long ago its row changed at most. */
  recordDeparture(source: string, changedWithinMs: number): void {
    this.#departures.observe({ source }, changedWithinMs / MILLISECONDS_PER_SECOND);
  }

  /** Records how long a datagram of another daemon was on its way at most. */
  recordDatagramDelay(kind: string, delayMs: number): void {
    this.#datagramDelays.observe({ kind }, delayMs / MILLISECONDS_PER_SECOND);
  }

  /** Records a caller's request that was sent to a server that is not listed as ready. */
  recordSentToDeparting(state: string): void {
    this.#sentToDeparting.inc({ state });
  }

  /** Records requests that a server had not answered when it departed. */
  recordUnansweredAtDeparture(calls: number): void {
    this.#unansweredAtDeparture.inc(calls);
  }

  /** Records a request that was sent to another daemon. */
  recordForwarded(result: string): void {
    this.#forwarded.inc({ result });
  }

  /** Records a stream that its caller took up, and how its origin is known or why it is rejected. */
  recordResumption(outcome: 'continue' | 'reject', why: string): void {
    this.#resumptions.inc({ outcome, why });
  }

  /** Records a stream whose origin was sent to other daemons. */
  recordStreamRecord(result: 'confirmed' | 'unconfirmed'): void {
    this.#streamRecords.inc({ result });
  }

  /** Records a caller's request that was sent to a server with a limit. */
  recordCallToLimited(): void {
    this.#callsToLimited.inc();
  }

  /** Records permits for servers with a limit. */
  recordPermits(what: 'asked' | 'granted' | 'given-back', count: number): void {
    this.#permits.inc({ what }, count);
  }

  /** Records a request that a stop cuts. */
  recordCutByStop(phase: RequestPhase): void {
    this.#cutByStop.inc({ phase });
  }

  /** Records what a service's retry budget has counted since the last call, and its current level. */
  recordRetryBudget(service: string, since: RetryBudgetCounts, level: number): void {
    this.#retryBudget.inc({ service, what: 'requests' }, since.requests);
    this.#retryBudget.inc({ service, what: 'taken' }, since.taken);
    this.#retryBudget.inc({ service, what: 'given-back' }, since.givenBack);
    this.#retryBudget.inc({ service, what: 'denied' }, since.denied);
    this.#retryBudgetLevel.set({ service }, level);
  }

  /** Registers a gauge that is read at each scrape. */
  addGauge(name: string, help: string, read: () => number): void {
    const registers = [this.#registry];
    new Gauge({
      name,
      help,
      registers,
      collect() {
        this.set(read());
      },
    });
  }

  /** Registers a gauge with one label, whose series are read anew at each scrape. */
  addLabelledGauge(
    name: string,
    help: string,
    label: string,
    read: () => ReadonlyMap<string, number>,
  ): void {
    const registers = [this.#registry];
    new Gauge({
      name,
      help,
      labelNames: [label],
      registers,
      collect() {
        this.reset();
        for (const [labelValue, value] of read()) this.set({ [label]: labelValue }, value);
      },
    });
  }

  text(): Promise<string> {
    return this.#registry.metrics();
  }
}
