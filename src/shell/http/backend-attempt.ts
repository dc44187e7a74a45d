/**
 * One dispatch of a request to one backend, as an undici handler. A failure before undici starts to
 * write the request is reported as not sent; after that the backend may have run the request.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher, Pool } from 'undici';
import { isFinalStatus } from '../../core/gateway/index.js';
import { GRANT_LAPSED, type RequestEffect } from '../../core/requests/index.js';
import type { ActiveRequest } from './active-request.js';
import { type AnswerFraming, answerFraming } from './answer-framing.js';
import { EngineRefusal, isRefusalStatus } from './engine-refusal.js';
import { singleValue } from './headers.js';

/** The core's order to send a request to one backend. */
export type DispatchEffect = Extract<RequestEffect, { kind: 'dispatch' }>;

/** Interim answers (RFC 9110 section 15.2) have lower statuses. */
const FINAL_STATUS = 200;
/** Each of them restarts undici's time-out for the head of the answer. */
const MAX_INTERIM_ANSWERS = 1_000;

const CANCELLED = new Error('cancelled');
const PROTOCOL_VIOLATION = new Error('backend violated the protocol');

/** Statuses by which an engine reports an error in the request itself; forwarded unchanged. */
const REQUEST_ERROR_STATUSES: ReadonlySet<number> = new Set([400, 413, 422]);

/** The logic that forwarded and streamed answers share. */
export abstract class BackendAttempt implements Dispatcher.DispatchHandler {
  protected controller: Dispatcher.DispatchController | null = null;
  protected refusal: EngineRefusal | null = null;
  #ended = false;
  #interimAnswers = 0;

  constructor(
    protected readonly request: ActiveRequest,
    protected readonly effect: DispatchEffect,
  ) {}

  /** The attempt's id. */
  get id(): string {
    return this.effect.attempt;
  }

  /** Sends the request. */
  send(pool: Pool): void {
    const { call, description, host } = this.request;
    if (this.#hasGrantLapsed()) {
      this.#reportNotSent(GRANT_LAPSED);
      return;
    }
    pool.dispatch(
      {
        method: call.method,
        path: call.path,
        body: call.body,
        headers: this.#headers(),
        headersTimeout: host.limits.backendHeadersTimeoutMs,
        bodyTimeout: host.limits.backendStallTimeoutMs,
        reset: !description.repeatable,
      },
      this,
    );
  }

  /** Stops the backend's work by closing the connection, without reporting an attempt event. */
  cancel(): void {
    this.#ended = true;
    this.controller?.abort(CANCELLED);
  }

  /** Stops reading the backend's answer. */
  pause(): void {
    this.controller?.pause();
  }

  /** Continues to read the backend's answer. */
  resume(): void {
    if (this.controller?.paused === true) this.controller.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    const hasStarted = this.controller !== null;
    this.controller = controller;
    if (this.#ended) controller.abort(CANCELLED);
    else if (hasStarted) this.abortAsBroken('sent-twice');
    else if (this.#hasGrantLapsed()) this.#abortBeforeSend(controller);
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (this.#ended) return;
    if (status < FINAL_STATUS) {
      this.#countInterimAnswer();
      return;
    }
    if (!isFinalStatus(status)) {
      this.abortAsBroken(`status-${status}`);
      return;
    }
    if (this.framingOf(status, headers) === 'unknown-coding') {
      this.abortAsBroken('transfer-coding');
      return;
    }
    if (this.request.description.target.kind === 'web') {
      this.onAnswerStart(status, headers);
      return;
    }
    const attemptHeader = headers['x-threadfork-attempt'];
    if (
      isRefusalStatus(status) &&
      (attemptHeader === undefined || attemptHeader === this.effect.attempt)
    ) {
      this.refusal = new EngineRefusal(status, headers);
    } else if (attemptHeader !== this.effect.attempt) {
      this.abortAsBroken('foreign-answer');
    } else if (status === 200 || REQUEST_ERROR_STATUSES.has(status)) {
      this.onAnswerStart(status, headers);
    } else {
      this.abortAsBroken(`status-${status}`);
    }
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#ended) return;
    if (this.refusal === null) this.onAnswerData(chunk);
    else if (!this.refusal.add(chunk)) this.abortAsBroken('refusal-too-large');
  }

  onResponseEnd(): void {
    if (this.#ended) return;
    if (this.refusal === null) this.onAnswerEnd();
    else this.#reportRefused(this.refusal);
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.#ended) return;
    const reason = reasonOf(error);
    if (this.controller === null) {
      this.#reportNotSent(reason);
    } else {
      this.#reportBroken(reason);
    }
  }

  /** Called with the head of an answer that is to be forwarded to the caller. */
  protected abstract onAnswerStart(status: number, headers: IncomingHttpHeaders): void;
  /** Called with each chunk of that answer's body. */
  protected abstract onAnswerData(chunk: Buffer): void;
  /** Called when the backend has ended that answer. */
  protected abstract onAnswerEnd(): void;

  /** What marks the end of an answer with this head. */
  protected framingOf(status: number, headers: IncomingHttpHeaders): AnswerFraming {
    return answerFraming(this.request.call.method, status, headers);
  }

  protected get over(): boolean {
    return this.#ended;
  }

  /** Reports the attempt's end; later callbacks of undici are ignored. */
  protected finish(event: Parameters<ActiveRequest['onAttemptEnded']>[1]): void {
    this.#ended = true;
    this.request.onAttemptEnded(this, event);
  }

  /** Reports the attempt as broken and closes its connection, since its answer can't be used. */
  protected abortAsBroken(reason: string): void {
    const controller = this.controller;
    this.#reportBroken(reason);
    controller?.abort(PROTOCOL_VIOLATION);
  }

  #countInterimAnswer(): void {
    this.#interimAnswers += 1;
    if (this.#interimAnswers > MAX_INTERIM_ANSWERS) this.abortAsBroken('interim-answers');
  }

  /** The grant to send may lapse while a connection is opened or waited for. */
  #hasGrantLapsed(): boolean {
    const { sendBefore } = this.effect;
    return sendBefore !== undefined && this.request.host.now() >= sendBefore;
  }

  /** Aborts before undici writes, so that the connection closes without a byte of the request. */
  #abortBeforeSend(controller: Dispatcher.DispatchController): void {
    this.#ended = true;
    controller.abort(CANCELLED);
    this.#reportNotSent(GRANT_LAPSED);
  }

  #reportNotSent(reason: string): void {
    this.finish({ kind: 'not-sent', attempt: this.effect.attempt, reason });
  }

  #reportBroken(reason: string): void {
    this.finish({
      kind: 'broken',
      attempt: this.effect.attempt,
      reason,
      deliveredTokens: this.request.nextOffset,
      headersForwarded: this.request.headersForwarded,
      version: this.request.version,
    });
  }

  #reportRefused(refusal: EngineRefusal): void {
    const details = refusal.read();
    if (details === null) {
      this.#reportBroken(`status-${refusal.status}`);
      return;
    }
    this.finish({ kind: 'refused-not-run', attempt: this.effect.attempt, ...details });
  }

  #headers(): string[] {
    const { call, description } = this.request;
    if (description.target.kind === 'web') return [...call.headers];
    const headers = [
      ...call.headers,
      'x-threadfork-attempt',
      this.effect.attempt,
      'x-threadfork-priority',
      String(this.effect.priority),
    ];
    if (this.effect.resumeOffset > 0) {
      headers.push('x-threadfork-resume-offset', String(this.effect.resumeOffset));
      const { version } = this.request;
      if (version !== null) headers.push('x-threadfork-version', version);
    }
    return headers;
  }
}

/** The code or name of a network error, for logs and messages. */
function reasonOf(error: Error): string {
  const code: unknown = 'code' in error ? error.code : undefined;
  return typeof code === 'string' ? code : error.name;
}

/** The Content-Length of a body, or null when it is absent. */
export function contentLengthOf(headers: IncomingHttpHeaders): number | null {
  const text = singleValue(headers['content-length']);
  return text === undefined ? null : Number(text);
}
