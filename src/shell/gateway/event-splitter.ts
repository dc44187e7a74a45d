/**
 * Splits a stream into complete server-sent events (each ends with an empty line, as in the HTML standard), so that a
 * stream that breaks inside an event can be resumed at another server without a partial event.
 */

import { isFieldValue } from '../../core/gateway/index.js';
import { endOfLastEvent } from './event-boundary.js';

const EMPTY = Buffer.alloc(0);
/** A longer id would make a head that servers refuse. */
const MAX_ID_LENGTH = 1_024;

/** Buffers bytes and returns complete events. */
export class EventSplitter {
  #partialEvent: Buffer = EMPTY;
  #lastEventId: string | undefined;

  /** The id of the last complete event; undefined where no header can carry it, so that the stream can't be resumed. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Adds a chunk; returns the bytes up to the end of the last complete event, empty when there is none. */
  push(chunk: Buffer): Buffer {
    const bytes =
      this.#partialEvent.length === 0 ? chunk : Buffer.concat([this.#partialEvent, chunk]);
    const end = endOfLastEvent(bytes);
    this.#partialEvent = bytes.subarray(end);
    const complete = bytes.subarray(0, end);
    if (end > 0) this.#recordIds(complete);
    return complete;
  }

  /** Bytes held back, as their event is not complete. */
  get heldBytes(): number {
    return this.#partialEvent.length;
  }

  /** Discards an incomplete event before another server resumes the stream. */
  discardPartialEvent(): void {
    this.#partialEvent = EMPTY;
  }

  /** Takes the bytes after the last complete event, at the end of a complete stream. */
  takeRemainder(): Buffer {
    const remainder = this.#partialEvent;
    this.#partialEvent = EMPTY;
    return remainder;
  }

  #recordIds(complete: Buffer): void {
    const text = complete.toString('latin1');
    for (const [, id = ''] of text.matchAll(/^id: ?(.*?)\r?$/gm)) {
      this.#lastEventId = isFieldValue(id, MAX_ID_LENGTH) ? id : undefined;
    }
  }
}
