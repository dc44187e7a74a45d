/** One caller's request in the shell: its response, what is sent to backends, its attempt. */
import type { ServerResponse } from 'node:http';
import type { MonotonicMs } from '../../core/common/time.js';
import { type Fault, refusedNotRun } from '../../core/errors/fault.js';
import type {
  AttemptEvent,
  RecordedOutcome,
  RequestDescription,
} from '../../core/requests/index.js';
import { AnswerCapture } from './answer-capture.js';
import type { AnswerHead } from './chunk-rewriter.js';
import type { EventBuffer } from './event-buffer.js';
import { faultBody, faultResponse } from './fault-http.js';
import type { HttpLimits } from './limits.js';

/** What is sent to a backend, the same in each attempt. */
export interface BackendCall {
  readonly method: string;
  readonly path: string;
  readonly body: Buffer | null;
  /** Flat name and value list; for a model engine its protocol's headers are added. */
  readonly headers: readonly string[];
}

/** How the answer is handed over. Null `answerHead`: as the backend gives it. */
export interface AnswerPlan {
  /** For streamed model answers. */
  readonly answerHead: AnswerHead | null;
  readonly includeUsage: boolean;
}

/** What a request needs of its attempt, which knows the request in its turn. */
export interface RunningAttempt {
  readonly id: string;
  pause(): void;
  resume(): void;
  /** Stops the backend's work; nothing is reported. */
  cancel(): void;
}

/** Where the engine's data of the last token handed over stands; null before the first. */
export interface LastToken {
  bytes: Buffer | null;
  start: number;
  end: number;
}

/** What a request needs of the server that it belongs to. */
export interface RequestHost {
  readonly limits: HttpLimits;
  /** Shared by all streams; empty between two turns of the event loop. */
  readonly eventBuffer: EventBuffer;
  now(): MonotonicMs;
  onAttemptEvent(request: ActiveRequest, event: AttemptEvent): void;
  /** The response is over and no attempt runs: the request may be forgotten. */
  onReleased(request: ActiveRequest): void;
  onCallerGone(request: ActiveRequest): void;
}

/** A request from its body's arrival until its response is over and its last attempt has ended. */
export class ActiveRequest {
  /** The attempt whose events count; an earlier one's are too late. */
  attempt: RunningAttempt | null = null;
  /** Since when the caller has left what was written unread, or null. */
  pausedSince: MonotonicMs | null = null;
  /** First token offset that the caller has not had. */
  nextOffset = 0;
  readonly lastToken: LastToken = { bytes: null, start: 0, end: 0 };
  /** The version that wrote what the caller has; a resumed attempt must go on in it. */
  version: string | null = null;
  headersForwarded = false;
  readonly capture: AnswerCapture | null;
  #responseOver = false;
  #answered = false;

  constructor(
    readonly host: RequestHost,
    readonly description: RequestDescription,
    readonly response: ServerResponse,
    readonly call: BackendCall,
    readonly plan: AnswerPlan,
  ) {
    const keyed = description.idempotencyKey !== null;
    this.capture = keyed ? new AnswerCapture(host.limits.maxReplayBytes) : null;
    response.on('close', this.#onClose);
    response.on('drain', this.#onDrain);
  }

  /** Bytes of body that the request holds. */
  get heldBytes(): number {
    return this.call.body?.length ?? 0;
  }

  /** Begins the response. */
  writeHead(status: number, headers: Record<string, string | string[]>): void {
    this.headersForwarded = true;
    this.capture?.begin(status, contentTypeOf(headers));
    if (!this.#responseOver) this.response.writeHead(status, headers);
  }

  /** Hands over a piece of the answer; pauses the attempt while the caller does not read. */
  write(chunk: Buffer): void {
    this.capture?.add(chunk);
    if (this.#responseOver || this.response.write(chunk)) return;
    this.#watchForStall();
    this.attempt?.pause();
  }

  /** Ends the response as whole. */
  end(lastChunk?: Buffer): void {
    this.#answered = true;
    if (lastChunk !== undefined) this.capture?.add(lastChunk);
    if (this.#responseOver) return;
    // As a string the body goes out in one write with the head, as a buffer it would not.
    if (lastChunk === undefined) this.response.end();
    else this.response.end(lastChunk.toString('latin1'), 'latin1');
    this.#watchForStall();
  }

  /** Reports the attempt's end to the core and forgets the attempt. */
  onAttemptEnded(attempt: RunningAttempt, event: AttemptEvent): void {
    if (this.attempt !== attempt) return;
    this.attempt = null;
    this.host.onAttemptEvent(this, event);
    this.#releaseIfOver();
  }

  /** Stops an attempt if it is still the current one. */
  cancelAttempt(attemptId: string): void {
    if (this.attempt?.id !== attemptId) return;
    this.attempt.cancel();
    this.attempt = null;
    this.#releaseIfOver();
  }

  /** Gives the final answer: a fault. */
  refuse(fault: Fault): void {
    if (this.headersForwarded) {
      this.abort(fault);
      return;
    }
    this.#answered = true;
    if (this.#responseOver) return;
    const { status, headers, body } = faultResponse(fault);
    this.response.writeHead(status, { ...headers, 'x-request-id': this.description.id });
    this.response.end(body);
  }

  /** Breaks the response visibly: an error event for a stream, then a cut connection. */
  abort(fault: Fault): void {
    this.#answered = true;
    if (this.#responseOver) return;
    if (this.plan.answerHead === null) {
      this.response.destroy();
      return;
    }
    this.response.write(`data: ${faultBody(fault)}\n\n`, () => this.response.destroy());
    this.#watchForStall();
  }

  /** Answers with what was recorded under the idempotency key. */
  replay(outcome: RecordedOutcome): void {
    if (outcome.kind === 'failed') {
      this.refuse(outcome.fault);
      return;
    }
    if (outcome.kind === 'answered-too-large-to-replay') {
      this.refuse(answerNotKept(outcome.status));
      return;
    }
    this.#answered = true;
    if (this.#responseOver) return;
    this.response.writeHead(outcome.status, {
      'content-type': outcome.contentType,
      'content-length': Buffer.byteLength(outcome.body),
      'idempotency-replayed': 'true',
      'x-request-id': this.description.id,
    });
    this.response.end(outcome.body);
  }

  /** Cuts the caller's connection. */
  closeConnection(): void {
    this.response.destroy();
  }

  /** From now on the caller has to read; `drain` or `close` says that it has. */
  #watchForStall(): void {
    if (this.pausedSince === null) this.pausedSince = this.host.now();
  }

  readonly #onClose = (): void => {
    this.#responseOver = true;
    this.pausedSince = null;
    if (!this.#answered) this.host.onCallerGone(this);
    this.attempt?.resume();
    this.#releaseIfOver();
  };

  readonly #onDrain = (): void => {
    this.pausedSince = null;
    this.attempt?.resume();
  };

  #releaseIfOver(): void {
    if (this.#responseOver && this.attempt === null) this.host.onReleased(this);
  }
}

function contentTypeOf(headers: Record<string, string | string[]>): string {
  const value = headers['content-type'];
  return typeof value === 'string' ? value : 'application/octet-stream';
}

function answerNotKept(status: number): Fault {
  return {
    ...refusedNotRun(
      'idempotency-answer-not-kept',
      `The first request with this Idempotency-Key was run and answered with status ${status}, but its answer was too large to keep. Read the result from the service; use a new key to run it again.`,
    ),
    outcome: 'unknown',
  };
}
