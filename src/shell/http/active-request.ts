/** One request of a caller: its response, the call sent to backends and the current attempt. */
import type { ServerResponse } from 'node:http';
import type { MonotonicMs } from '../../core/common/time.js';
import { type Fault, refusedNotRun } from '../../core/errors/fault.js';
import type {
  AttemptEvent,
  RecordedOutcome,
  RequestDescription,
} from '../../core/requests/index.js';
import { AnswerCapture } from './answer-capture.js';
import { breakOffResponse } from './break-off-response.js';
import type { AnswerHead } from './chunk-rewriter.js';
import type { EventBuffer } from './event-buffer.js';
import { faultBody, faultResponse } from './fault-http.js';
import type { HttpLimits } from './limits.js';

/** The request that is sent to a backend; the same in each attempt. */
export interface BackendCall {
  readonly method: string;
  readonly path: string;
  readonly body: Buffer | null;
  /** Alternating names and values; each attempt at an engine adds the `x-threadfork-` headers. */
  readonly headers: readonly string[];
}

/** How the answer is written to the caller. */
export interface AnswerPlan {
  /** The head of a streamed model answer; null when the backend's answer is forwarded unchanged. */
  readonly answerHead: AnswerHead | null;
  readonly includeUsage: boolean;
}

/** The part of an attempt that its request uses; the attempt in turn refers to the request. */
export interface RunningAttempt {
  readonly id: string;
  pause(): void;
  resume(): void;
  /** Stops the backend's work without reporting an attempt event. */
  cancel(): void;
}

/** The last forwarded token's data in the engine's bytes; `bytes` is null before the first one. */
export interface LastToken {
  bytes: Buffer | null;
  start: number;
  end: number;
}

/** The part of the caller server that a request uses. */
export interface RequestHost {
  readonly limits: HttpLimits;
  /** Shared by all streams. Empty between two turns of the event loop. */
  readonly eventBuffer: EventBuffer;
  now(): MonotonicMs;
  onAttemptEvent(request: ActiveRequest, event: AttemptEvent): void;
  /** Called once the response is closed and no attempt runs, so that the request can be removed. */
  onReleased(request: ActiveRequest): void;
  onCallerGone(request: ActiveRequest): void;
}

/** A request, from its body's arrival until its response is closed and its last attempt ended. */
export class ActiveRequest {
  /** The current attempt; events of earlier attempts are ignored. */
  attempt: RunningAttempt | null = null;
  /** When the caller began to leave written bytes unread; null while it keeps up. */
  pausedSince: MonotonicMs | null = null;
  /** The offset of the first token that has not been written to the caller. */
  nextOffset = 0;
  readonly lastToken: LastToken = { bytes: null, start: 0, end: 0 };
  /** The model version of the tokens written so far; a resumed attempt must use the same one. */
  version: string | null = null;
  headersForwarded = false;
  readonly capture: AnswerCapture | null;
  #responseClosed = false;
  #answered = false;

  constructor(
    readonly host: RequestHost,
    readonly description: RequestDescription,
    readonly response: ServerResponse,
    readonly call: BackendCall,
    readonly plan: AnswerPlan,
  ) {
    const hasIdempotencyKey = description.idempotencyKey !== null;
    this.capture = hasIdempotencyKey ? new AnswerCapture(host.limits.maxReplayBytes) : null;
    response.on('close', this.#onClose);
    response.on('drain', this.#onDrain);
  }

  /** Bytes of the request body, which stay in memory until the request is released. */
  get heldBytes(): number {
    return this.call.body?.length ?? 0;
  }

  /** Writes the response's status and headers. */
  writeHead(status: number, headers: Record<string, string | string[]>): void {
    this.headersForwarded = true;
    this.capture?.begin(status, contentTypeOf(headers));
    if (!this.#responseClosed) this.response.writeHead(status, headers);
  }

  /** Writes a chunk of the answer. Pauses the attempt while the caller's send buffer is full. */
  write(chunk: Buffer): void {
    this.capture?.add(chunk);
    if (this.#responseClosed || this.response.write(chunk)) return;
    this.#markStallStart();
    this.attempt?.pause();
  }

  /** Ends the response as complete. */
  end(lastChunk?: Buffer): void {
    this.#answered = true;
    if (lastChunk !== undefined) this.capture?.add(lastChunk);
    if (this.#responseClosed) return;
    // node:http sends a string body in the same write as the head, but a Buffer in a second write.
    if (lastChunk === undefined) this.response.end();
    else this.response.end(lastChunk.toString('latin1'), 'latin1');
    this.#markStallStart();
  }

  /** Reports the end of the current attempt to the core and clears it. */
  onAttemptEnded(attempt: RunningAttempt, event: AttemptEvent): void {
    if (this.attempt !== attempt) return;
    this.attempt = null;
    this.host.onAttemptEvent(this, event);
    this.#releaseIfEnded();
  }

  /** Stops an attempt if it is still the current one. */
  cancelAttempt(attemptId: string): void {
    if (this.attempt?.id !== attemptId) return;
    this.attempt.cancel();
    this.attempt = null;
    this.#releaseIfEnded();
  }

  /** Answers with a fault; aborts the response when its headers have already been forwarded. */
  refuse(fault: Fault): void {
    if (this.headersForwarded) {
      this.abort(fault);
      return;
    }
    this.#answered = true;
    if (this.#responseClosed) return;
    const { status, headers, body } = faultResponse(fault);
    this.response.writeHead(status, { ...headers, 'x-request-id': this.description.id });
    this.response.end(body);
  }

  /**
   * Breaks off a response whose headers have been forwarded, so that the caller can't take it for
   * complete: closes the connection, for a stream after an error event.
   */
  abort(fault: Fault): void {
    this.#answered = true;
    if (this.#responseClosed) return;
    if (this.plan.answerHead === null) {
      breakOffResponse(this.response);
      return;
    }
    this.response.write(`data: ${faultBody(fault)}\n\n`, () => breakOffResponse(this.response));
    this.#markStallStart();
  }

  /** Answers with the outcome that was recorded under the idempotency key. */
  replay(outcome: RecordedOutcome): void {
    if (outcome.kind === 'failed') {
      this.refuse(outcome.fault);
      return;
    }
    if (outcome.kind === 'answered-too-large-to-replay') {
      this.refuse(answerTooLargeToReplay(outcome.status));
      return;
    }
    this.#answered = true;
    if (this.#responseClosed) return;
    this.response.writeHead(outcome.status, {
      'content-type': outcome.contentType,
      'content-length': Buffer.byteLength(outcome.body),
      'idempotency-replayed': 'true',
      'x-request-id': this.description.id,
    });
    this.response.end(outcome.body);
  }

  /** Closes the caller's connection at once. */
  closeConnection(): void {
    breakOffResponse(this.response);
  }

  /** Records when the caller's unread period began; `drain` or `close` clears it. */
  #markStallStart(): void {
    if (this.pausedSince === null) this.pausedSince = this.host.now();
  }

  readonly #onClose = (): void => {
    this.#responseClosed = true;
    this.pausedSince = null;
    if (!this.#answered) this.host.onCallerGone(this);
    this.attempt?.resume();
    this.#releaseIfEnded();
  };

  readonly #onDrain = (): void => {
    this.pausedSince = null;
    this.attempt?.resume();
  };

  #releaseIfEnded(): void {
    if (this.#responseClosed && this.attempt === null) this.host.onReleased(this);
  }
}

function contentTypeOf(headers: Record<string, string | string[]>): string {
  const value = headers['content-type'];
  return typeof value === 'string' ? value : 'application/octet-stream';
}

function answerTooLargeToReplay(status: number): Fault {
  return {
    ...refusedNotRun(
      'idempotency-answer-not-kept',
      `The first request with this Idempotency-Key was run and answered with status ${status}, but its answer was too large to keep. Read the result from the service; use a new key to run it again.`,
    ),
    outcome: 'unknown',
  };
}
