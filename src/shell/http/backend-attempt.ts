/**
 * One dispatch of a request to one backend, as an undici handler. Before undici begins to write the
 * request nothing has left; from then on a failure means that the work may have run.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher, Pool } from 'undici';
import { GRANT_LAPSED, type RequestEffect } from '../../core/requests/index.js';
import type { ActiveRequest } from './active-request.js';
import { EngineRefusal, isRefusalStatus } from './engine-refusal.js';
import { singleValue } from './headers.js';

/** What the core asked for. */
export type DispatchEffect = Extract<RequestEffect, { kind: 'dispatch' }>;

const CANCELLED = new Error('cancelled');
const PROTOCOL_BROKEN = new Error('the answer is not to be trusted');

/** Statuses by which an engine judges the request itself; they go to the caller as they are. */
const REQUEST_FLAW_STATUSES: ReadonlySet<number> = new Set([400, 413, 422]);

/** The part that whole and streamed answers share. */
export abstract class BackendAttempt implements Dispatcher.DispatchHandler {
  protected controller: Dispatcher.DispatchController | null = null;
  protected refusal: EngineRefusal | null = null;
  #over = false;

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
    if (this.#grantHasLapsed()) {
      this.#notSent(GRANT_LAPSED);
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

  /** Stops the backend's work by closing the connection. Nothing is reported. */
  cancel(): void {
    this.#over = true;
    this.controller?.abort(CANCELLED);
  }

  /** Stops reading the backend's answer. */
  pause(): void {
    this.controller?.pause();
  }

  /** Goes on reading. */
  resume(): void {
    if (this.controller?.paused === true) this.controller.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    const sentBefore = this.controller !== null;
    this.controller = controller;
    if (this.#over) controller.abort(CANCELLED);
    else if (sentBefore) this.abortAsBroken('sent-twice');
    else if (this.#grantHasLapsed()) this.#refuseToSend(controller);
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (this.#over || status < 200) return;
    if (this.request.description.target.kind === 'web') {
      this.onAnswerStart(status, headers);
      return;
    }
    const stated = headers['x-threadfork-attempt'];
    if (isRefusalStatus(status) && (stated === undefined || stated === this.effect.attempt)) {
      this.refusal = new EngineRefusal(status, headers);
    } else if (stated !== this.effect.attempt) {
      this.abortAsBroken('foreign-answer');
    } else if (status === 200 || REQUEST_FLAW_STATUSES.has(status)) {
      this.onAnswerStart(status, headers);
    } else {
      this.abortAsBroken(`status-${status}`);
    }
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#over) return;
    if (this.refusal === null) this.onAnswerData(chunk);
    else if (!this.refusal.add(chunk)) this.abortAsBroken('refusal-too-large');
  }

  onResponseEnd(): void {
    if (this.#over) return;
    if (this.refusal === null) this.onAnswerEnd();
    else this.#refused(this.refusal);
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.#over) return;
    const reason = reasonOf(error);
    if (this.controller === null) {
      this.#notSent(reason);
    } else {
      this.#reportBroken(reason);
    }
  }

  /** The head of an answer that is for the caller. */
  protected abstract onAnswerStart(status: number, headers: IncomingHttpHeaders): void;
  /** A piece of its body. */
  protected abstract onAnswerData(chunk: Buffer): void;
  /** The backend's end of it. */
  protected abstract onAnswerEnd(): void;

  protected get over(): boolean {
    return this.#over;
  }

  /** Reports the attempt's end; whatever comes later is ignored. */
  protected finish(event: Parameters<ActiveRequest['onAttemptEnded']>[1]): void {
    this.#over = true;
    this.request.onAttemptEnded(this, event);
  }

  /** Breaks the attempt off: what the backend says is not to be trusted. */
  protected abortAsBroken(reason: string): void {
    const controller = this.controller;
    this.#reportBroken(reason);
    controller?.abort(PROTOCOL_BROKEN);
  }

  /** The grant may end while a connection is opened or waited for. */
  #grantHasLapsed(): boolean {
    const { sendBefore } = this.effect;
    return sendBefore !== undefined && this.request.host.now() >= sendBefore;
  }

  /** Aborts before undici writes; the connection closes without a byte of the request. */
  #refuseToSend(controller: Dispatcher.DispatchController): void {
    this.#over = true;
    controller.abort(CANCELLED);
    this.#notSent(GRANT_LAPSED);
  }

  #notSent(reason: string): void {
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

  #refused(refusal: EngineRefusal): void {
    const read = refusal.read();
    if (read === null) {
      this.#reportBroken(`status-${refusal.status}`);
      return;
    }
    this.finish({ kind: 'refused-not-run', attempt: this.effect.attempt, ...read });
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

/** A short name of a network error, for logs and messages. */
function reasonOf(error: Error): string {
  const code: unknown = 'code' in error ? error.code : undefined;
  return typeof code === 'string' ? code : error.name;
}

/** The declared length of a body, or null. */
export function contentLengthOf(headers: IncomingHttpHeaders): number | null {
  const text = singleValue(headers['content-length']);
  return text === undefined ? null : Number(text);
}
