/**
 * Finds where server-sent events end (each ends with an empty line, as in the HTML standard), without keeping their bytes.
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const NO_BYTE = 0;

/** The two bytes before a chunk, as the end of an event may be shared by two chunks; 0 where there are none. */
interface BytesBefore {
  readonly last: number;
  readonly secondLast: number;
}

/** Before the first chunk. */
export const NO_BYTES_BEFORE: BytesBefore = { last: NO_BYTE, secondLast: NO_BYTE };

/** The two bytes before the chunk that follows this one. */
export function bytesBeforeNext(chunk: Buffer, before: BytesBefore): BytesBefore {
  const last = chunk.at(-1) ?? before.last;
  const secondLast = chunk.at(-2) ?? (chunk.length === 0 ? before.secondLast : before.last);
  return { last, secondLast };
}

/** The position after the last complete event that ends in a chunk; 0 when none does. */
export function endOfLastEvent(chunk: Buffer, before: BytesBefore = NO_BYTES_BEFORE): number {
  const byteAt = (index: number): number => {
    if (index >= 0) return chunk[index] ?? NO_BYTE;
    return index === -1 ? before.last : before.secondLast;
  };
  for (let index = chunk.length - 1; index >= 0; index -= 1) {
    if (chunk[index] !== LINE_FEED) continue;
    const previous = byteAt(index - 1);
    if (previous === LINE_FEED) return index + 1;
    if (previous === CARRIAGE_RETURN && byteAt(index - 2) === LINE_FEED) return index + 1;
  }
  return 0;
}

/** Follows the events of one server's part of a stream. */
export class EventBoundary {
  #before = NO_BYTES_BEFORE;
  #hasCompleteEvent = false;
  #isInsideEvent = false;

  /** Whether an event has arrived completely. */
  get hasCompleteEvent(): boolean {
    return this.#hasCompleteEvent;
  }

  /** Whether bytes have arrived after the last complete event. */
  get isInsideEvent(): boolean {
    return this.#isInsideEvent;
  }

  push(chunk: Buffer): void {
    if (chunk.length === 0) return;
    const end = endOfLastEvent(chunk, this.#before);
    this.#hasCompleteEvent ||= end > 0;
    this.#isInsideEvent = end < chunk.length;
    this.#before = bytesBeforeNext(chunk, this.#before);
  }
}
