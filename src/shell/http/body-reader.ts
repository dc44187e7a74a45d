/** Reads request bodies, with a size limit for each and one for all bodies held at once. */
import type { IncomingMessage } from 'node:http';
import { type Fault, refusedNotRun } from '../../core/errors/fault.js';
import { ByteCollector } from '../bytes/index.js';

/** Limits the total bytes of the request bodies that the daemon holds in memory. */
export class BodyBudget {
  readonly #limitBytes: number;
  #heldBytes = 0;

  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  /** Bytes held now. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Reserves bytes; false when the total would exceed the limit. */
  tryReserve(bytes: number): boolean {
    if (this.#heldBytes + bytes > this.#limitBytes) return false;
    this.#heldBytes += bytes;
    return true;
  }

  /** Releases reserved bytes. */
  release(bytes: number): void {
    this.#heldBytes -= bytes;
  }
}

/** The result of reading a body. `gone`: the caller closed the connection before the body's end. */
export type BodyResult =
  | { readonly kind: 'body'; readonly body: Buffer }
  | { readonly kind: 'refused'; readonly fault: Fault }
  | { readonly kind: 'gone' };

const OVERLOADED_RETRY_AFTER_MS = 1_000;

/**
 * Reads a body and calls `done` once. The bytes of a complete body stay reserved in the budget
 * until the caller of this function releases them.
 */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
  budget: BodyBudget,
  done: (result: BodyResult) => void,
): void {
  if (declaredLength(request) > maxBytes) {
    done({ kind: 'refused', fault: tooLarge(maxBytes) });
    return;
  }
  new BodyReader(request, maxBytes, budget, done).start();
}

class BodyReader {
  readonly #collected = new ByteCollector();
  /** Memory that the collected bytes take. */
  #reservedBytes = 0;
  #ended = false;

  constructor(
    private readonly request: IncomingMessage,
    private readonly maxBytes: number,
    private readonly budget: BodyBudget,
    private readonly done: (result: BodyResult) => void,
  ) {}

  start(): void {
    this.request.on('data', this.#onData);
    this.request.on('end', this.#onEnd);
    this.request.on('close', this.#onClose);
    this.request.on('error', this.#onClose);
  }

  readonly #onData = (chunk: Buffer): void => {
    if (this.#collected.length + chunk.length > this.maxBytes) {
      this.#finish({ kind: 'refused', fault: tooLarge(this.maxBytes) });
      return;
    }
    this.#collected.add(chunk);
    const neededBytes = this.#collected.heldBytes - this.#reservedBytes;
    if (!this.budget.tryReserve(neededBytes)) {
      this.#finish({ kind: 'refused', fault: TOO_MANY_BODIES });
      return;
    }
    this.#reservedBytes += neededBytes;
  };

  readonly #onEnd = (): void => {
    const body = this.#collected.join();
    this.budget.release(this.#reservedBytes - body.length);
    this.#finish({ kind: 'body', body });
  };

  readonly #onClose = (): void => {
    this.#finish({ kind: 'gone' });
  };

  #finish(result: BodyResult): void {
    if (this.#ended) return;
    this.#ended = true;
    this.request.off('data', this.#onData);
    this.request.off('end', this.#onEnd);
    this.request.off('close', this.#onClose);
    this.#collected.clear();
    if (result.kind !== 'body') this.budget.release(this.#reservedBytes);
    this.done(result);
  }
}

function declaredLength(request: IncomingMessage): number {
  const header = request.headers['content-length'];
  return header === undefined ? 0 : Number(header);
}

function tooLarge(maxBytes: number): Fault {
  return refusedNotRun(
    'body-too-large',
    `The body is over ${maxBytes} bytes. Send a smaller one, or ask the operator to raise the limit.`,
  );
}

const TOO_MANY_BODIES = refusedNotRun(
  'overloaded',
  'Too many request bodies are held here at once. Try again after the time in Retry-After.',
  { retryAfterMs: OVERLOADED_RETRY_AFTER_MS },
);
