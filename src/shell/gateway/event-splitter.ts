/**
 * Cuts a stream into whole events (each ends with an empty line, as in the HTML standard's server-
 * sent events), so that a stream that breaks inside one can go on cleanly at another server.
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const EMPTY = Buffer.alloc(0);

/** Collects bytes and gives back whole events. */
export class EventSplitter {
  #rest: Buffer = EMPTY;
  #lastEventId: string | undefined;

  /** The id of the last whole event. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** The bytes up to the end of the last whole event; empty when there is none. */
  push(chunk: Buffer): Buffer {
    const bytes = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
    const end = endOfLastEvent(bytes);
    this.#rest = bytes.subarray(end);
    const whole = bytes.subarray(0, end);
    if (end > 0) this.#noteIds(whole);
    return whole;
  }

  /** Drops what is not whole, before another server goes on. */
  discardPartialEvent(): void {
    this.#rest = EMPTY;
  }

  /** The bytes after the last whole event, at the end of a whole stream. */
  takeRemainder(): Buffer {
    const rest = this.#rest;
    this.#rest = EMPTY;
    return rest;
  }

  #noteIds(whole: Buffer): void {
    const text = whole.toString('latin1');
    for (const match of text.matchAll(/^id: ?(.*?)\r?$/gm)) this.#lastEventId = match[1];
  }
}

function endOfLastEvent(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index -= 1) {
    if (bytes[index] !== LINE_FEED) continue;
    if (bytes[index - 1] === LINE_FEED) return index + 1;
    if (bytes[index - 1] === CARRIAGE_RETURN && bytes[index - 2] === LINE_FEED) return index + 1;
  }
  return 0;
}
