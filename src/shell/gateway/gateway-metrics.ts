/**
 * Counters and latency histograms of a gateway, as Prometheus text.
 */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { RetryBudgetCounts } from '../../core/gateway/index.js';

const LATENCY_BUCKETS_SECONDS = [0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 5, 10];
const MILLISECONDS_PER_SECOND = 1_000;

/** How a request ended. */
export interface RequestEnd {
  readonly route: string;
  readonly kind: string;
  readonly outcome: string;
  readonly reason: string;
}

/** A gateway's own figures. */
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
  readonly #roomRefusals = new Counter({
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

  readonly #toldAvailability = new Counter({
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

  /** A request went after it had waited for room. */
  recordWait(rank: number, waitedMs: number): void {
    this.#waits.observe({ rank }, waitedMs / MILLISECONDS_PER_SECOND);
  }

  recordCapacityRefusal(reason: string, rank: number): void {
    this.#roomRefusals.inc({ reason, rank });
  }

  recordAttempt(result: string): void {
    this.#attempts.inc({ result });
  }

  /** An answer said something of its server. */
  recordReportedAvailability(what: string): void {
    this.#toldAvailability.inc({ what });
  }

  /** A call was given up before it was sent. */
  recordHeldBack(why: string): void {
    this.#heldBack.inc({ why });
  }

  /** A caller's request was sent to a server that names a limit. */
  recordCallToLimited(): void {
    this.#callsToLimited.inc();
  }

  /** Permits for servers that name a limit were asked for, granted or given back. */
  recordPermits(what: 'asked' | 'granted' | 'given-back', count: number): void {
    this.#permits.inc({ what }, count);
  }

  /** What came to a service's retry budget since it was last recorded, and its level now. */
  recordRetryBudget(service: string, since: RetryBudgetCounts, level: number): void {
    this.#retryBudget.inc({ service, what: 'requests' }, since.requests);
    this.#retryBudget.inc({ service, what: 'taken' }, since.taken);
    this.#retryBudget.inc({ service, what: 'given-back' }, since.givenBack);
    this.#retryBudget.inc({ service, what: 'denied' }, since.denied);
    this.#retryBudgetLevel.set({ service }, level);
  }

  /** Adds a figure that is read when it is asked for. */
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

  /** Adds a figure with one label, whose values are read anew each time. */
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
        for (const [of, value] of read()) this.set({ [label]: of }, value);
      },
    });
  }

  text(): Promise<string> {
    return this.#registry.metrics();
  }
}
