/**
 * Finds where server-sent events end (each ends with an empty line, as in the HTML standard), without keeping their bytes.
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** An event ends with at most this many bytes, which two chunks may share: a line feed and an empty line. */
const MAX_END_BYTES = 3;
const EMPTY = Buffer.alloc(0);

/** The position after the last complete event; 0 when there is none. */
export function endOfLastEvent(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index -= 1) {
    if (bytes[index] !== LINE_FEED) continue;
    if (bytes[index - 1] === LINE_FEED) return index + 1;
    if (bytes[index - 1] === CARRIAGE_RETURN && bytes[index - 2] === LINE_FEED) return index + 1;
  }
  return 0;
}

/** Follows the events of one server's part of a stream. */
export class EventBoundary {
  #lastBytes: Buffer = EMPTY;
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
    const seam = Buffer.concat([this.#lastBytes, chunk.subarray(0, MAX_END_BYTES - 1)]);
    const endInSeam = endOfLastEvent(seam) - this.#lastBytes.length;
    const end = Math.max(endInSeam, endOfLastEvent(chunk));
    this.#hasCompleteEvent ||= end > 0;
    this.#isInsideEvent = end < chunk.length;
    this.#lastBytes = Buffer.concat([this.#lastBytes, chunk.subarray(1 - MAX_END_BYTES)]).subarray(
      1 - MAX_END_BYTES,
    );
  }
}
