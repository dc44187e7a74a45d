/**
 * An attempt whose answer is forwarded unchanged. Small answers are held until they are complete,
 * so that another backend can be tried if this one breaks off; larger ones are forwarded chunk by
 * chunk.
 */
import type { IncomingHttpHeaders } from 'node:http';
import { ByteCollector } from '../bytes/index.js';
import { mayHaveBody } from './answer-framing.js';
import { BackendAttempt, contentLengthOf } from './backend-attempt.js';
import type { TokenUsage } from './chunk-rewriter.js';
import { responseHeadersToCaller } from './headers.js';
import { readUsage } from './usage.js';

interface AnswerStart {
  readonly status: number;
  readonly headers: Record<string, string | string[]>;
  /** The Content-Length, or null when the backend declares none. */
  readonly length: number | null;
}

/** An attempt whose answer is forwarded unchanged. */
export class PassThroughAttempt extends BackendAttempt {
  #start: AnswerStart | null = null;
  /** The held answer's body; null for an answer that is forwarded chunk by chunk. */
  #held: ByteCollector | null = null;
  /** What arrived in this turn of the event loop; small chunks are forwarded in one. */
  readonly #arrived = new ByteCollector();
  #receivedBytes = 0;
  #lastChunk: Buffer | null = null;

  protected override onAnswerStart(status: number, headers: IncomingHttpHeaders): void {
    const length = contentLengthOf(headers);
    if (this.framingOf(status, headers) === 'close') {
      this.abortAsBroken('no-length');
      return;
    }
    this.#start = { status, headers: this.#callerHeaders(headers, length), length };
    if (length !== null && length <= this.request.host.limits.maxHeldAnswerBytes)
      this.#held = new ByteCollector();
    else this.#forwardHead(this.#start);
  }

  protected override onAnswerData(chunk: Buffer): void {
    this.#receivedBytes += chunk.length;
    this.#lastChunk = chunk;
    if (this.#held !== null) this.#held.add(chunk);
    else this.#forwardSoon(chunk);
  }

  protected override onAnswerEnd(): void {
    const start = this.#start;
    if (start === null || !this.#isComplete(start)) {
      this.abortAsBroken('wrong-length');
      return;
    }
    if (this.#held !== null) {
      this.#forwardHeld(start, this.#held.join());
      return;
    }
    this.#flush();
    this.request.end();
    this.#reportCompleted(this.#lastChunk === null ? null : readUsage(this.#lastChunk));
  }

  #forwardSoon(chunk: Buffer): void {
    if (this.#arrived.length === 0) queueMicrotask(() => this.#flush());
    this.#arrived.add(chunk);
  }

  #flush(): void {
    if (this.over || this.#arrived.length === 0) return;
    const bytes = this.#arrived.join();
    this.#arrived.clear();
    this.request.write(bytes);
  }

  /** Forwards a held answer, unless a model's answer with status 200 is malformed. */
  #forwardHeld(start: AnswerStart, body: Buffer): void {
    const isModel = this.request.description.target.kind === 'model';
    const usage = isModel ? readUsage(body) : null;
    if (isModel && start.status === 200 && (usage === null || !isJson(body))) {
      this.abortAsBroken('malformed-answer');
      return;
    }
    this.request.writeHead(start.status, start.headers);
    this.request.end(body);
    this.#reportCompleted(usage);
  }

  #forwardHead(start: AnswerStart): void {
    this.request.writeHead(start.status, start.headers);
    this.request.host.onAttemptEvent(this.request, {
      kind: 'first-byte',
      attempt: this.effect.attempt,
      status: start.status,
    });
  }

  #reportCompleted(usage: TokenUsage | null): void {
    const capture = this.request.capture;
    this.finish({
      kind: 'completed',
      attempt: this.effect.attempt,
      promptTokens: usage?.promptTokens ?? 0,
      outputTokens: usage?.outputTokens ?? 0,
      ...(capture === null ? {} : { outcome: capture.outcome() }),
    });
  }

  #isComplete(start: AnswerStart): boolean {
    const hasBody = mayHaveBody(this.request.call.method, start.status);
    if (start.length === null || !hasBody) return true;
    return this.#receivedBytes === start.length;
  }

  #callerHeaders(
    headers: IncomingHttpHeaders,
    length: number | null,
  ): Record<string, string | string[]> {
    if (this.request.description.target.kind === 'web') return responseHeadersToCaller(headers);
    const forwarded: Record<string, string> = {
      'content-type': headers['content-type'] ?? 'application/json',
      'x-request-id': this.request.description.id,
    };
    if (length !== null) forwarded['content-length'] = String(length);
    return forwarded;
  }
}

/** Detects answers cut short by a too small Content-Length, which HTTP regards as complete. */
function isJson(body: Buffer): boolean {
  try {
    JSON.parse(body.toString('utf8'));
    return true;
  } catch {
    return false;
  }
}
