/**
 * Reads request bodies, with a size limit for each and one for the memory of all. A body that has stopped is evicted for one
 * that arrives while there is no room, and is refused after a time-out in any case.
 */
import type { IncomingMessage } from 'node:http';
import type { Milliseconds, MonotonicMs } from '../../core/common/time.js';
import { type Fault, refusedNotRun } from '../../core/errors/fault.js';
import { ByteCollector } from '../bytes/index.js';
import { BodyBudget } from './body-budget.js';
import type { HttpLimits } from './limits.js';
import type { CallerRefusal } from './refusal-log.js';

/** The result of reading a body. `gone`: the caller closed the connection before the body's end. */
export type BodyResult =
  | { readonly kind: 'body'; readonly body: Buffer }
  | { readonly kind: 'refused'; readonly fault: Fault }
  | { readonly kind: 'gone' };

/** Dependencies of `BodyIntake`. */
export interface BodyIntakeOptions {
  readonly limits: Pick<HttpLimits, 'maxBodyBytes' | 'maxBufferedBytes' | 'bodyStallTimeoutMs'>;
  now(): MonotonicMs;
  /** Called for each body that is refused for its memory or its time, with the memory that it held. */
  onRefused(reason: CallerRefusal, heldBytes: number): void;
}

const OVERLOADED_RETRY_AFTER_MS: Milliseconds = 1_000;
/** A body that has made progress within this time is not evicted for another. */
const MIN_STALL_MS: Milliseconds = 1_000;

/** The bodies of one server's requests. */
export class BodyIntake {
  readonly #options: BodyIntakeOptions;
  readonly #budget: BodyBudget;
  /** The bodies that are incomplete, the one without progress for the longest time first. */
  readonly #arriving = new Set<BodyReader>();

  constructor(options: BodyIntakeOptions) {
    this.#options = options;
    this.#budget = new BodyBudget(options.limits.maxBufferedBytes);
  }

  /** Memory of all bodies. */
  get heldBytes(): number {
    return this.#budget.heldBytes;
  }

  /**
   * Reads a body and calls `done` once. The bytes of a complete body stay reserved until the caller of this method releases
   * them.
   */
  read(request: IncomingMessage, done: (result: BodyResult) => void): void {
    const { maxBodyBytes } = this.#options.limits;
    if (declaredLength(request) > maxBodyBytes) {
      done({ kind: 'refused', fault: tooLarge(maxBodyBytes) });
      return;
    }
    const reader = new BodyReader(request, this, done);
    this.recordProgress(reader);
    reader.start();
  }

  /** Releases the bytes of a complete body. */
  release(bytes: number): void {
    this.#budget.release(bytes);
  }

  /** Refuses the bodies that have stopped for too long. */
  sweep(): void {
    const { limits, now } = this.#options;
    const stalledSince = now() - limits.bodyStallTimeoutMs;
    for (const reader of [...this.#arriving]) {
      if (reader.lastProgressAt > stalledSince) return;
      this.#options.onRefused('body-stalled', reader.reservedBytes);
      reader.refuse(STALLED);
    }
  }

  /** The largest body. */
  get maxBodyBytes(): number {
    return this.#options.limits.maxBodyBytes;
  }

  /** Records that bytes of a body have arrived. */
  recordProgress(reader: BodyReader): void {
    reader.lastProgressAt = this.#options.now();
    this.#arriving.delete(reader);
    this.#arriving.add(reader);
  }

  /** Forgets a body that is complete, refused or gone. */
  recordEnd(reader: BodyReader): void {
    this.#arriving.delete(reader);
  }

  /** Reserves memory of a body that arrives; false when neither the limit nor a stalled body leaves room for it. */
  tryReserve(bytes: number, heldBytes: number): boolean {
    while (!this.#budget.tryReserve(bytes)) {
      const stalled = this.#longestStalled();
      if (stalled === undefined) {
        this.#options.onRefused('no-room-for-body', heldBytes);
        return false;
      }
      this.#options.onRefused('body-evicted', stalled.reservedBytes);
      stalled.refuse(TOO_MANY_BODIES);
    }
    return true;
  }

  #longestStalled(): BodyReader | undefined {
    const [first] = this.#arriving;
    if (first === undefined) return undefined;
    return this.#options.now() - first.lastProgressAt < MIN_STALL_MS ? undefined : first;
  }
}

/** One body that arrives. */
class BodyReader {
  lastProgressAt: MonotonicMs = 0;
  readonly #request: IncomingMessage;
  readonly #intake: BodyIntake;
  readonly #done: (result: BodyResult) => void;
  readonly #collected = new ByteCollector();
  #reservedBytes = 0;
  #ended = false;

  constructor(request: IncomingMessage, intake: BodyIntake, done: (result: BodyResult) => void) {
    this.#request = request;
    this.#intake = intake;
    this.#done = done;
  }

  /** Memory that the collected bytes take. */
  get reservedBytes(): number {
    return this.#reservedBytes;
  }

  start(): void {
    this.#request.on('data', this.#onData);
    this.#request.on('end', this.#onEnd);
    this.#request.on('close', this.#onClose);
    this.#request.on('error', this.#onClose);
  }

  /** Ends the reading and releases what was read. */
  refuse(fault: Fault): void {
    this.#finish({ kind: 'refused', fault });
  }

  readonly #onData = (chunk: Buffer): void => {
    const { maxBodyBytes } = this.#intake;
    if (this.#collected.length + chunk.length > maxBodyBytes) {
      this.refuse(tooLarge(maxBodyBytes));
      return;
    }
    this.#intake.recordProgress(this);
    this.#collected.add(chunk);
    const neededBytes = this.#collected.heldBytes - this.#reservedBytes;
    if (this.#intake.tryReserve(neededBytes, this.#reservedBytes))
      this.#reservedBytes += neededBytes;
    else this.refuse(TOO_MANY_BODIES);
  };

  readonly #onEnd = (): void => {
    const body = this.#collected.join();
    this.#intake.release(this.#reservedBytes - body.length);
    this.#finish({ kind: 'body', body });
  };

  readonly #onClose = (): void => {
    this.#finish({ kind: 'gone' });
  };

  #finish(result: BodyResult): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#request.off('data', this.#onData);
    this.#request.off('end', this.#onEnd);
    this.#request.off('close', this.#onClose);
    this.#intake.recordEnd(this);
    this.#collected.clear();
    if (result.kind !== 'body') this.#intake.release(this.#reservedBytes);
    this.#done(result);
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

const STALLED = refusedNotRun(
  'body-timeout',
  'The body stopped before its end. Send the request again, without long pauses.',
  { retryable: true },
);
