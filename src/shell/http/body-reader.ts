/** Reads request bodies within bounds: of one body, and of all bodies held at once. */
import type { IncomingMessage } from 'node:http';
import { type Fault, refusedNotRun } from '../../core/errors/fault.js';

/** Counts the bytes of the bodies that the daemon holds. */
export class BodyBudget {
  readonly #limit: number;
  #held = 0;

  constructor(limitBytes: number) {
    this.#limit = limitBytes;
  }

  /** Bytes held now. */
  get heldBytes(): number {
    return this.#held;
  }

  /** Takes bytes, or answers false when that would pass the limit. */
  tryReserve(bytes: number): boolean {
    if (this.#held + bytes > this.#limit) return false;
    this.#held += bytes;
    return true;
  }

  /** Gives bytes back. */
  release(bytes: number): void {
    this.#held -= bytes;
  }
}

/** How a body's reading ended. `gone`: the caller left before its end. */
export type BodyResult =
  | { readonly kind: 'body'; readonly body: Buffer }
  | { readonly kind: 'refused'; readonly fault: Fault }
  | { readonly kind: 'gone' };

const EMPTY_BODY = Buffer.alloc(0);
const FIRST_GROWTH_BYTES = 16 * 1024;
const OVERLOADED_RETRY_AFTER_MS = 1_000;

/**
 * Reads a body and calls `done` once. The bytes of a whole body stay taken from the budget until
 * the caller of this function releases them.
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
  new BodyReading(request, maxBytes, budget, done).start();
}

class BodyReading {
  readonly #collected = new GrowingBuffer();
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
    if (!this.budget.tryReserve(chunk.length)) {
      this.#finish({ kind: 'refused', fault: TOO_MANY_BODIES });
      return;
    }
    this.#collected.add(chunk);
  };

  readonly #onEnd = (): void => {
    this.#finish({ kind: 'body', body: this.#collected.bytes() });
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
    if (result.kind !== 'body') this.budget.release(this.#collected.length);
    this.done(result);
  }
}

/** Collects chunks in one piece of memory, however small and many they are. */
class GrowingBuffer {
  #bytes: Buffer = EMPTY_BODY;
  #length = 0;

  get length(): number {
    return this.#length;
  }

  add(chunk: Buffer): void {
    if (this.#length === 0) {
      this.#bytes = chunk;
      this.#length = chunk.length;
      return;
    }
    const needed = this.#length + chunk.length;
    if (needed > this.#bytes.length) this.#grow(needed);
    chunk.copy(this.#bytes, this.#length);
    this.#length = needed;
  }

  bytes(): Buffer {
    return this.#bytes.subarray(0, this.#length);
  }

  #grow(needed: number): void {
    const grown = Buffer.allocUnsafeSlow(Math.max(needed, this.#length * 2, FIRST_GROWTH_BYTES));
    this.#bytes.copy(grown, 0, 0, this.#length);
    this.#bytes = grown;
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
