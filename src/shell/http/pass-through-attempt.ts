/**
 * An attempt whose answer is handed over as the backend gives it. Small answers are held until they
 * are whole, so that a backend that breaks off leaves room for another; larger ones are piped.
 */
import type { IncomingHttpHeaders } from 'node:http';
import { BackendAttempt, contentLengthOf } from './backend-attempt.js';
import type { TokenUsage } from './chunk-rewriter.js';
import { responseHeadersToCaller } from './headers.js';
import { readUsage } from './usage.js';

interface AnswerBegin {
  readonly status: number;
  readonly headers: Record<string, string | string[]>;
  /** Null where the backend sends chunks of no stated total. */
  readonly length: number | null;
}

const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** An attempt with a whole answer. */
export class PassThroughAttempt extends BackendAttempt {
  #begin: AnswerBegin | null = null;
  #held: Buffer[] | null = null;
  #received = 0;
  #lastChunk: Buffer | null = null;

  protected override onAnswerStart(status: number, headers: IncomingHttpHeaders): void {
    const length = contentLengthOf(headers);
    if (length === null && !this.#mayLackLength(status, headers)) {
      this.abortAsBroken('no-length');
      return;
    }
    this.#begin = { status, headers: this.#callerHeaders(headers, length), length };
    if (length !== null && length <= this.request.host.limits.maxHeldAnswerBytes) this.#held = [];
    else this.#forwardHead(this.#begin);
  }

  protected override onAnswerData(chunk: Buffer): void {
    this.#received += chunk.length;
    this.#lastChunk = chunk;
    if (this.#held !== null) this.#held.push(chunk);
    else this.request.write(chunk);
  }

  protected override onAnswerEnd(): void {
    const begin = this.#begin;
    if (begin === null || !this.#isWhole(begin)) {
      this.abortAsBroken('wrong-length');
      return;
    }
    if (this.#held !== null) {
      this.#forwardHeld(begin, this.#held);
      return;
    }
    this.request.end();
    this.#completed(this.#lastChunk === null ? null : readUsage(this.#lastChunk));
  }

  /** Hands over a held answer, unless a model's whole answer is not one. */
  #forwardHeld(begin: AnswerBegin, held: readonly Buffer[]): void {
    const body = held.length === 1 && held[0] !== undefined ? held[0] : Buffer.concat(held);
    const isModel = this.request.description.target.kind === 'model';
    const usage = isModel ? readUsage(body) : null;
    if (isModel && begin.status === 200 && (usage === null || !isJson(body))) {
      this.abortAsBroken('malformed-answer');
      return;
    }
    this.request.writeHead(begin.status, begin.headers);
    this.request.end(body);
    this.#completed(usage);
  }

  #forwardHead(begin: AnswerBegin): void {
    this.request.writeHead(begin.status, begin.headers);
    this.request.host.onAttemptEvent(this.request, {
      kind: 'first-byte',
      attempt: this.effect.attempt,
      status: begin.status,
    });
  }

  #completed(usage: TokenUsage | null): void {
    const capture = this.request.capture;
    this.finish({
      kind: 'completed',
      attempt: this.effect.attempt,
      promptTokens: usage?.promptTokens ?? 0,
      outputTokens: usage?.outputTokens ?? 0,
      ...(capture === null ? {} : { outcome: capture.outcome() }),
    });
  }

  #isWhole(begin: AnswerBegin): boolean {
    if (begin.length === null || this.#isBodiless(begin.status)) return true;
    return this.#received === begin.length;
  }

  #mayLackLength(status: number, headers: IncomingHttpHeaders): boolean {
    return headers['transfer-encoding'] !== undefined || this.#isBodiless(status);
  }

  #isBodiless(status: number): boolean {
    return this.request.call.method === 'HEAD' || BODILESS_STATUSES.has(status);
  }

  #callerHeaders(
    headers: IncomingHttpHeaders,
    length: number | null,
  ): Record<string, string | string[]> {
    if (this.request.description.target.kind === 'web') return responseHeadersToCaller(headers);
    const passed: Record<string, string> = {
      'content-type': headers['content-type'] ?? 'application/json',
      'x-request-id': this.request.description.id,
    };
    if (length !== null) passed['content-length'] = String(length);
    return passed;
  }
}

/** A length that is too small leaves a body that HTTP calls whole; its JSON tells. */
function isJson(body: Buffer): boolean {
  try {
    JSON.parse(body.toString('utf8'));
    return true;
  } catch {
    return false;
  }
}
