/**
 * An attempt with a streamed model answer. Frames are checked for their attempt and offset and
 * forwarded in the caller's shape. The end marker is sent only after the last token and the token
 * counts.
 */
import type { IncomingHttpHeaders } from 'node:http';
import { ByteCollector } from '../bytes/index.js';
import type { ActiveRequest } from './active-request.js';
import { BackendAttempt, type DispatchEffect } from './backend-attempt.js';
import {
  type AnswerHead,
  ChunkRewriter,
  DONE_EVENT,
  hasFinishReason,
  type TokenUsage,
} from './chunk-rewriter.js';
import type { EventBuffer } from './event-buffer.js';
import { type FrameKind, FrameReader, type FrameSink } from './frame-reader.js';

const EVENT_STREAM = 'text/event-stream';

/** An engine's report of an error in the request itself; it is not a stream. */
interface RequestErrorAnswer {
  readonly status: number;
  readonly body: ByteCollector;
}

/** An attempt with a streamed answer. */
export class StreamAttempt extends BackendAttempt implements FrameSink {
  readonly #reader: FrameReader;
  readonly #rewriter: ChunkRewriter;
  readonly #output: EventBuffer;
  #requestErrorAnswer: RequestErrorAnswer | null = null;

  constructor(request: ActiveRequest, effect: DispatchEffect, head: AnswerHead) {
    super(request, effect);
    this.#rewriter = new ChunkRewriter(head, request.version, request.plan.includeUsage);
    this.#output = request.host.eventBuffer;
    this.#reader = new FrameReader(
      effect.attempt,
      request.nextOffset,
      request.host.limits.maxFrameBytes,
      this,
    );
  }

  /** Rewrites a frame's data into the output buffer; removes it again if it is malformed. */
  frame(bytes: Buffer, start: number, end: number): FrameKind {
    const lengthBefore = this.#output.length;
    const hasUsage = this.#rewriter.usage !== null;
    const kind = this.#rewriter.rewrite(bytes, start, end, this.#output);
    if (kind === 'token' && !hasUsage) return this.#recordToken(bytes, start, end);
    if (kind === 'usage' && (hasUsage || this.#hasAllTokens())) return 'usage';
    this.#output.truncate(lengthBefore);
    return 'malformed';
  }

  #recordToken(bytes: Buffer, start: number, end: number): FrameKind {
    const { lastToken } = this.request;
    lastToken.bytes = bytes;
    lastToken.start = start;
    lastToken.end = end;
    this.request.version = this.#rewriter.version;
    return 'token';
  }

  #hasAllTokens(): boolean {
    const { bytes, start, end } = this.request.lastToken;
    if (bytes === null) return this.#rewriter.usage?.outputTokens === 0;
    return hasFinishReason(bytes.toString('utf8', start, end));
  }

  /** Ignored: `onAnswerData` checks the end marker and completeness after reading a chunk. */
  done(): void {}

  protected override onAnswerStart(status: number, headers: IncomingHttpHeaders): void {
    if (status !== 200) this.#startRequestError(status, headers);
    else if (!(headers['content-type'] ?? '').startsWith(EVENT_STREAM))
      this.abortAsBroken('not-a-stream');
  }

  protected override onAnswerData(chunk: Buffer): void {
    if (this.#requestErrorAnswer !== null) {
      this.#addRequestErrorData(this.#requestErrorAnswer, chunk);
      return;
    }
    // The shared buffer must not contain bytes of another stream.
    this.#output.truncate(0);
    this.#reader.push(chunk);
    this.request.nextOffset = this.#reader.nextOffset;
    const { usage } = this.#rewriter;
    if (this.#reader.done && usage !== null) {
      this.#complete(usage);
      return;
    }
    this.#flush();
    if (this.#reader.fault !== null) this.abortAsBroken(this.#reader.fault);
    else if (this.#reader.done) this.abortAsBroken('ended-early');
  }

  protected override onAnswerEnd(): void {
    if (this.#requestErrorAnswer === null) this.abortAsBroken('ended-early');
    else this.#forwardRequestError(this.#requestErrorAnswer);
  }

  #startRequestError(status: number, headers: IncomingHttpHeaders): void {
    if (this.request.headersForwarded) this.abortAsBroken(`status-${status}`);
    else if (this.framingOf(status, headers) === 'close') this.abortAsBroken('no-length');
    else this.#requestErrorAnswer = { status, body: new ByteCollector() };
  }

  #addRequestErrorData(answer: RequestErrorAnswer, chunk: Buffer): void {
    answer.body.add(chunk);
    if (answer.body.length > this.request.host.limits.maxHeldAnswerBytes)
      this.abortAsBroken('answer-too-large');
  }

  #forwardRequestError(answer: RequestErrorAnswer): void {
    const body = answer.body.join();
    this.request.writeHead(answer.status, {
      'content-type': 'application/json',
      'content-length': String(body.length),
    });
    this.request.end(body);
    this.#finishCompleted({ promptTokens: 0, outputTokens: 0 });
  }

  #flush(): void {
    if (this.#output.length === 0) return;
    const events = this.#output.take();
    this.#forwardHead();
    this.request.write(events);
  }

  #complete(usage: TokenUsage): void {
    this.#output.append(DONE_EVENT);
    const events = this.#output.take();
    this.#forwardHead();
    this.request.end(events);
    this.#finishCompleted(usage);
  }

  #finishCompleted(usage: TokenUsage): void {
    const capture = this.request.capture;
    this.finish({
      kind: 'completed',
      attempt: this.effect.attempt,
      promptTokens: usage.promptTokens,
      outputTokens: usage.outputTokens,
      ...(capture === null ? {} : { outcome: capture.outcome() }),
    });
  }

  #forwardHead(): void {
    if (this.request.headersForwarded) return;
    this.request.writeHead(200, {
      'content-type': EVENT_STREAM,
      'cache-control': 'no-cache',
      'x-request-id': this.request.description.id,
    });
    this.request.host.onAttemptEvent(this.request, {
      kind: 'first-byte',
      attempt: this.effect.attempt,
      status: 200,
    });
  }
}
