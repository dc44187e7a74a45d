/**
 * Counts and times of callers' requests.
 */
import { Counter, Histogram, type Registry } from 'prom-client';
import type { RequestId } from '../../core/common/identifiers.js';
import type { Milliseconds, MonotonicMs } from '../../core/common/time.js';
import type { Fault } from '../../core/errors/fault.js';
import type { AttemptEvent, RequestNotice } from '../../core/requests/index.js';
import { BoundedLabel } from './bounded-label.js';

const MAX_CLASSES = 16;
const MAX_REASONS = 48;
const MILLISECONDS_PER_SECOND = 1_000;
/** Around the goal of 0.81 s to the first token. */
const FIRST_BYTE_BUCKETS_SECONDS = [0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 0.81, 1.2, 2, 5, 15, 60];
const TOTAL_BUCKETS_SECONDS = [0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 300, 1_800];
/** Around the goal of 41 ms between tokens. */
const TOKEN_INTERVAL_BUCKETS_SECONDS = [0.01, 0.02, 0.03, 0.041, 0.06, 0.1, 0.2, 0.5, 1];

type RequestEnded = Extract<RequestNotice, { kind: 'request-ended' }>;

/** The metrics of requests and their attempts. */
export class RequestMetrics {
  readonly #classes = new BoundedLabel(MAX_CLASSES);
  readonly #reasons = new BoundedLabel(MAX_REASONS);
  /** First bytes of requests in flight; bounded by their number. */
  readonly #firstByteAt = new Map<RequestId, MonotonicMs>();
  readonly #inFlight = new Set<RequestId>();
  readonly #requests: Counter<'class' | 'result'>;
  readonly #attempts: Counter<'result' | 'reason'>;
  readonly #retries: Counter<'class'>;
  readonly #faults: Counter<'code' | 'outcome'>;
  readonly #promptTokens: Counter<'class'>;
  readonly #outputTokens: Counter<'class'>;
  readonly #firstByte: Histogram<'class'>;
  readonly #total: Histogram<'class'>;
  readonly #tokenInterval: Histogram<'class'>;

  constructor(registry: Registry) {
    const registers = [registry];
    this.#requests = new Counter({
      name: 'threadfork_requests_total',
      help: 'Requests that have ended, by class and result',
      labelNames: ['class', 'result'],
      registers,
    });
    this.#attempts = new Counter({
      name: 'threadfork_attempts_total',
      help: 'Dispatches to backends that have ended, by result and reason',
      labelNames: ['result', 'reason'],
      registers,
    });
    this.#retries = new Counter({
      name: 'threadfork_retries_total',
      help: 'Dispatches after the first one of a request',
      labelNames: ['class'],
      registers,
    });
    this.#faults = new Counter({
      name: 'threadfork_faults_total',
      help: 'Faults answered to callers, by code and whether the work may have run',
      labelNames: ['code', 'outcome'],
      registers,
    });
    this.#promptTokens = new Counter({
      name: 'threadfork_prompt_tokens_total',
      help: 'Prompt tokens of answered requests, as engines counted them',
      labelNames: ['class'],
      registers,
    });
    this.#outputTokens = new Counter({
      name: 'threadfork_output_tokens_total',
      help: 'Output tokens of answered requests, as engines counted them',
      labelNames: ['class'],
      registers,
    });
    this.#firstByte = new Histogram({
      name: 'threadfork_first_byte_seconds',
      help: "From a request's arrival to the first byte of its answer",
      labelNames: ['class'],
      buckets: FIRST_BYTE_BUCKETS_SECONDS,
      registers,
    });
    this.#total = new Histogram({
      name: 'threadfork_answer_seconds',
      help: "From a request's arrival to the end of its whole answer",
      labelNames: ['class'],
      buckets: TOTAL_BUCKETS_SECONDS,
      registers,
    });
    this.#tokenInterval = new Histogram({
      name: 'threadfork_token_interval_seconds',
      help: "Mean time between a request's output tokens",
      labelNames: ['class'],
      buckets: TOKEN_INTERVAL_BUCKETS_SECONDS,
      registers,
    });
  }

  /** Takes what the HTTP shell reports of an attempt; only first bytes count here. */
  recordAttemptEvent(request: RequestId, event: AttemptEvent, now: MonotonicMs): void {
    if (event.kind !== 'first-byte' || !this.#inFlight.has(request)) return;
    if (!this.#firstByteAt.has(request)) this.#firstByteAt.set(request, now);
  }

  /** Takes what the request table tells. */
  recordNotice(notice: RequestNotice, now: MonotonicMs): void {
    switch (notice.kind) {
      case 'attempt-started':
        this.#inFlight.add(notice.description.id);
        break;
      case 'attempt-ended':
        this.#attempts.inc({
          result: notice.result,
          reason: this.#reasons.labelFor(notice.reason),
        });
        break;
      case 'request-ended':
        this.#ended(notice, now);
        break;
    }
  }

  /** Counts a fault that a caller was answered with. */
  recordFault(fault: Fault): void {
    this.#faults.inc({ code: fault.code, outcome: fault.outcome });
  }

  #ended(ended: RequestEnded, now: MonotonicMs): void {
    const { id, arrivedAt, className } = ended.description;
    const labels = { class: this.#classes.labelFor(className) };
    const firstByteAt = this.#firstByteAt.get(id);
    this.#firstByteAt.delete(id);
    this.#inFlight.delete(id);
    this.#requests.inc({ ...labels, result: ended.result });
    this.#retries.inc(labels, Math.max(0, ended.attempts - 1));
    if (firstByteAt !== undefined) {
      this.#firstByte.observe(labels, seconds(firstByteAt - arrivedAt));
    }
    if (ended.result !== 'answered') return;
    this.#total.observe(labels, seconds(now - arrivedAt));
    this.#promptTokens.inc(labels, ended.promptTokens);
    this.#outputTokens.inc(labels, ended.outputTokens);
    if (firstByteAt === undefined || !ended.description.streamed || ended.outputTokens < 2) return;
    const interval = (now - firstByteAt) / (ended.outputTokens - 1);
    this.#tokenInterval.observe(labels, seconds(interval));
  }
}

function seconds(span: Milliseconds): number {
  return span / MILLISECONDS_PER_SECOND;
}
