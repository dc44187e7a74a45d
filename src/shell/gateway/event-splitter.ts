/**
 * Splits a stream into complete server-sent events (each ends with an empty line, as in the HTML standard), so that a
 * stream that breaks inside an event can be resumed at another server without a partial event.
 */

import { isFieldValue } from '../../core/gateway/index.js';
import { ByteCollector } from '../bytes/index.js';
import { bytesBeforeNext, endOfLastEvent, NO_BYTES_BEFORE } from './event-boundary.js';

const EMPTY = Buffer.alloc(0);
/** A longer id would make a head that servers refuse. */
const MAX_ID_LENGTH = 1_024;

/** Buffers bytes and returns complete events. */
export class EventSplitter {
  readonly #partialEvent = new ByteCollector();
  /** The last bytes of the incomplete event. */
  #before = NO_BYTES_BEFORE;
  #lastEventId: string | undefined;

  /** The id of the last complete event; undefined where no header can carry it, so that the stream can't be resumed. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Adds a chunk; returns the bytes up to the end of the last complete event, empty when there is none. */
  push(chunk: Buffer): Buffer {
    const end = endOfLastEvent(chunk, this.#before);
    const complete = end === 0 ? EMPTY : this.#completeWith(chunk.subarray(0, end));
    const rest = chunk.subarray(end);
    this.#partialEvent.add(rest);
    this.#before = bytesBeforeNext(rest, this.#before);
    return complete;
  }

  /** The length of the incomplete event. */
  get partialBytes(): number {
    return this.#partialEvent.length;
  }

  /** Memory that is held, as an event is not complete. */
  get heldBytes(): number {
    return this.#partialEvent.heldBytes;
  }

  /** Discards an incomplete event before another server resumes the stream. */
  discardPartialEvent(): void {
    this.#partialEvent.clear();
    this.#before = NO_BYTES_BEFORE;
  }

  /** Takes the bytes after the last complete event, at the end of a complete stream. */
  takeRemainder(): Buffer {
    const remainder = this.#partialEvent.join();
    this.discardPartialEvent();
    return remainder;
  }

  /** The incomplete event, and the bytes that complete it and any further ones. */
  #completeWith(bytes: Buffer): Buffer {
    const isAlone = this.#partialEvent.length === 0;
    if (!isAlone) this.#partialEvent.add(bytes);
    const complete = isAlone ? bytes : this.takeRemainder();
    this.#before = NO_BYTES_BEFORE;
    this.#recordIds(complete);
    return complete;
  }

  #recordIds(complete: Buffer): void {
    const text = complete.toString('latin1');
    for (const [, id = ''] of text.matchAll(/^id: ?(.*?)\r?$/gm)) {
      this.#lastEventId = isFieldValue(id, MAX_ID_LENGTH) ? id : undefined;
    }
  }
}
