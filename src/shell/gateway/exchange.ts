/**
 * One caller's request from arrival to its one final answer: its limits in time, whether the caller
 * is still there, and the ways it can end.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  type GatewayConfiguration,
  type RequestDescription,
  type Route,
  SendMeter,
  type Tenant,
} from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { LogFields } from '../../core/logging/log-event.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { RawHeaders } from './ports.js';
import type { GatewayLog } from './request-log.js';
import type { CancelTimer, TimerService } from './timer-service.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Why an exchange was ended from outside of its attempts. */
export type Interruption = 'caller-gone' | 'out-of-time';

/** A backend's answer that has been read to its end. */
export interface CompleteAnswer {
  readonly status: number;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  readonly serverId: string;
  /** Whether it had no end but that of its connection. */
  readonly isCloseDelimited: boolean;
}

/** What an exchange is built from. */
export interface ExchangeOptions {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly route: Route;
  readonly service: string;
  /** Whose it is; undefined where requests need no key. */
  readonly tenant: Tenant | undefined;
  /** By tenant and route, 0 the most urgent. */
  readonly rank: number;
  readonly configuration: GatewayConfiguration;
  readonly description: RequestDescription;
  readonly body: Buffer;
  readonly arrivedAtMs: number;
  readonly timers: TimerService;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  /** Whether answers ask the caller to close its connection. */
  readonly stopsAtMs: () => number | undefined;
}

/** Times of a request's steps, as far as it has come. */
export interface StepTimes {
  /** How long reading its prompt at another engine took. */
  prefillMs: number | undefined;
  /** From its arrival to the first event. */
  firstEventMs: number | undefined;
}

/** A caller's request under way. */
export class Exchange {
  readonly options: ExchangeOptions;
  /** When the caller, or the route, gives up on it. */
  readonly endsAtMs: number;
  /** Servers that have been sent it. */
  readonly triedServerIds = new Set<string>();
  /** How long its steps took, for the line on its end. */
  readonly stepTimesMs: StepTimes = { prefillMs: undefined, firstEventMs: undefined };
  /** Its arrivals at servers, for the budget of repeats. */
  readonly sends = new SendMeter();
  #openRuns = 0;
  #endedRuns = 0;
  readonly #interrupted = new AbortController();
  readonly #cancelTimer: CancelTimer;
  #interruption: Interruption | undefined;
  #isAnswered = false;

  constructor(options: ExchangeOptions) {
    this.options = options;
    const { route, description, arrivedAtMs, timers, response } = options;
    const allowedMs = Math.min(route.timeoutMs, description.deadlineMs ?? route.timeoutMs);
    this.endsAtMs = arrivedAtMs + allowedMs;
    this.#cancelTimer = timers.after(this.endsAtMs - timers.nowMs(), () =>
      this.#interrupt('out-of-time'),
    );
    response.once('close', () => {
      if (!response.writableFinished) this.#interrupt('caller-gone');
      this.#cancelTimer();
    });
  }

  /** Aborted when the caller left or the time is over. */
  get signal(): AbortSignal {
    return this.#interrupted.signal;
  }

  /** Servers that may have run it, for the route's bound on attempts. */
  get runs(): number {
    return this.#openRuns + this.#endedRuns;
  }

  /** Whether any server may have run it, or may be running it now. */
  get mayHaveRun(): boolean {
    return this.runs > 0;
  }

  /** It is about to be sent to a server that would run it. */
  beginRun(serverId: string): void {
    this.triedServerIds.add(serverId);
    this.#openRuns += 1;
  }

  /** The sending is over; `hasNotRun` only when that is certain. */
  endRun(hasNotRun: boolean): void {
    this.#openRuns -= 1;
    if (!hasNotRun) this.#endedRuns += 1;
  }

  get isAnswered(): boolean {
    return this.#isAnswered;
  }

  remainingMs(): number {
    return this.endsAtMs - this.options.timers.nowMs();
  }

  elapsedMs(): number {
    return this.options.timers.nowMs() - this.options.arrivedAtMs;
  }

  /** A backend's whole answer. */
  answer(answer: CompleteAnswer): void {
    const { status, headers, body, serverId } = answer;
    const framing = answer.isCloseDelimited ? [] : ['Content-Length', String(body.length)];
    if (answer.isCloseDelimited) this.#endByClose();
    if (!this.#begin(status, [...headers, ...framing])) return;
    this.options.response.end(body);
    this.finish('answered', { status, server: serverId });
  }

  /**
   * The head of a stream.
   * @param isCloseDelimited whether the backend's answer has no end but that of its connection
   */
  beginStream(status: number, headers: RawHeaders, isCloseDelimited: boolean): boolean {
    if (isCloseDelimited) this.#endByClose();
    return this.#begin(status, headers);
  }

  /**
   * Refuses with the promise that it has not run and never will; fails it where it may have run.
   * @param details more to be said in the log
   */
  refuse(reason: string, retryAfterMs: number, details: LogFields = {}): void {
    if (this.mayHaveRun) {
      this.fail(502, reason, details);
      return;
    }
    const seconds = Math.max(0.05, retryAfterMs / MILLISECONDS_PER_SECOND).toFixed(2);
    this.#answerOwn(503, reason, ['Retry-After', seconds]);
    this.#record('refused', reason);
    this.options.log.write(GATEWAY_EVENTS.requestRefused, {
      ...this.#fields(),
      reason,
      retryAfterMs: Math.round(retryAfterMs),
      ...details,
    });
  }

  /** Ends it without a promise. */
  fail(status: 502 | 504, reason: string, details: LogFields = {}): void {
    this.#answerOwn(status, reason, []);
    this.#record('failed', reason);
    const fields = { ...this.#fields(), status, reason, ...details };
    this.options.log.write(GATEWAY_EVENTS.requestFailed, fields);
  }

  /** Breaks off what has begun, visibly: an answer that ends early must not look whole. */
  abortResponse(reason: string): void {
    this.options.response.destroy();
    this.#record('broken-off', reason);
    this.options.log.write(GATEWAY_EVENTS.requestFailed, { ...this.#fields(), reason });
  }

  /** Says how it ended and stops its clock. */
  finish(outcome: string, fields: Readonly<Record<string, string | number | boolean>>): void {
    this.#cancelTimer();
    this.#record(outcome, '');
    this.options.log.write(GATEWAY_EVENTS.requestEnded, { ...this.#fields(), outcome, ...fields });
  }

  /** Ends it after an interruption, when no attempt is left to do so. */
  endInterrupted(): void {
    if (this.#interruption === 'caller-gone') {
      this.finish('caller-gone', {});
      return;
    }
    if (this.#isAnswered) this.abortResponse('out of time');
    else if (this.mayHaveRun) this.fail(504, 'out of time');
    else this.refuse('out of time before it was sent', 0);
  }

  /** The caller's answer gets no more of an end than the backend's had: it vouches for nothing. */
  #endByClose(): void {
    const { response } = this.options;
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  }

  #begin(status: number, headers: RawHeaders): boolean {
    const { response } = this.options;
    if (this.#isAnswered || response.destroyed) return false;
    this.#isAnswered = true;
    const closing = this.options.stopsAtMs() === undefined ? [] : ['Connection', 'close'];
    response.writeHead(status, [...headers, ...closing]);
    return true;
  }

  #answerOwn(status: number, reason: string, headers: RawHeaders): void {
    this.#cancelTimer();
    const body = Buffer.from(`${reason}\n`);
    const own = ['Content-Type', 'text/plain', 'Content-Length', String(body.length)];
    if (!this.#begin(status, [...headers, ...own])) return;
    this.options.response.end(body);
  }

  #interrupt(interruption: Interruption): void {
    if (this.#interruption !== undefined) return;
    this.#interruption = interruption;
    this.#interrupted.abort();
  }

  #record(outcome: string, reason: string): void {
    const { metrics, route } = this.options;
    metrics.recordRequest(
      { route: route.name, kind: route.kind, outcome, reason },
      this.elapsedMs(),
    );
  }

  #fields(): Readonly<Record<string, string | number | boolean>> {
    const { description, route, service, tenant, configuration } = this.options;
    return {
      request: description.attemptId,
      route: route.name,
      service,
      tenant: tenant?.name ?? '',
      configurationVersion: configuration.version,
      elapsedMs: Math.round(this.elapsedMs()),
      runs: this.runs,
      tried: this.triedServerIds.size,
      prefillMs: roundedOr0(this.stepTimesMs.prefillMs),
      firstEventMs: roundedOr0(this.stepTimesMs.firstEventMs),
    };
  }
}

function roundedOr0(spanMs: number | undefined): number {
  return Math.round(spanMs ?? 0);
}
