/**
 * A buffer in which the events for one caller are assembled before they are written. All streams
 * share one buffer, because it is filled and emptied within one turn of the event loop.
 */

const INITIAL_BYTES = 16 * 1024;
/** A buffer that has grown beyond this size for a large chunk is replaced by a small one. */
const MAX_RETAINED_BYTES = 256 * 1024;

/** A growing buffer that is emptied by `take`. */
export class EventBuffer {
  #bytes = Buffer.allocUnsafeSlow(INITIAL_BYTES);
  #length = 0;

  /** Bytes appended since the last `take`. */
  get length(): number {
    return this.#length;
  }

  /** Appends the bytes of `source` from `start` to `end`. */
  append(source: Buffer, start = 0, end = source.length): void {
    const needed = this.#length + end - start;
    if (needed > this.#bytes.length) this.#grow(needed);
    source.copy(this.#bytes, this.#length, start, end);
    this.#length = needed;
  }

  /** Removes the bytes beyond a length. */
  truncate(length: number): void {
    this.#length = Math.min(this.#length, length);
  }

  /** Returns a copy of the contents and empties the buffer. */
  take(): Buffer {
    const taken = Buffer.allocUnsafe(this.#length);
    this.#bytes.copy(taken, 0, 0, this.#length);
    this.#length = 0;
    if (this.#bytes.length > MAX_RETAINED_BYTES)
      this.#bytes = Buffer.allocUnsafeSlow(INITIAL_BYTES);
    return taken;
  }

  #grow(needed: number): void {
    const grown = Buffer.allocUnsafeSlow(Math.max(needed, this.#bytes.length * 2));
    this.#bytes.copy(grown, 0, 0, this.#length);
    this.#bytes = grown;
  }
}
