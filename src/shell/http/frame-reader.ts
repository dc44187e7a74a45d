/**
 * Reads an engine's server-sent events under any chunking and delivers only the frames of one
 * attempt, each offset once and in order (docs/ENGINE-API.md).
 */
import { ByteCollector } from '../bytes/index.js';

/** Receives the frames that the reader delivers. */
export interface FrameSink {
  /** Called with the next frame in order. `start` and `end` delimit its data in `bytes`. */
  frame(bytes: Buffer, start: number, end: number): FrameKind;
  /** Called when the end marker was read. */
  done(): void;
}

/** The content of a frame: one token, the final token counts, or malformed data (a fault). */
export type FrameKind = 'token' | 'usage' | 'malformed';

/** Why an attempt's stream is broken. */
export type FrameFault = 'malformed-frame' | 'frame-too-large' | 'offset-gap';

const LINE_FEED = 0x0a;
const ID_FIELD = Buffer.from('id: ');
const DATA_FIELD = Buffer.from('data: ');
const LF_DATA_FIELD = Buffer.from('\ndata: ');
const DONE = Buffer.from('[DONE]');
const FRAME_END = Buffer.from('\n\n');
const ZERO = 0x30;
const NINE = 0x39;
const MAX_OFFSET_DIGITS = 10;

/** The reader of one attempt's stream. */
export class FrameReader {
  readonly #ownIdPrefix: Buffer;
  readonly #ownIdField: Buffer;
  readonly #maxFrameBytes: number;
  readonly #sink: FrameSink;
  /** The bytes of a frame whose end has not been read. */
  readonly #remainder = new ByteCollector();
  #remainderEndsLine = false;
  #nextOffset: number;
  #fault: FrameFault | null = null;
  #done = false;
  /** Frames dropped because they belong to another attempt or repeat an offset. */
  #dropped = 0;

  constructor(attempt: string, nextOffset: number, maxFrameBytes: number, sink: FrameSink) {
    this.#ownIdPrefix = Buffer.from(`${attempt}:`);
    this.#ownIdField = Buffer.from(`id: ${attempt}:`);
    this.#nextOffset = nextOffset;
    this.#maxFrameBytes = maxFrameBytes;
    this.#sink = sink;
  }

  /** The offset of the first token that has not been delivered. */
  get nextOffset(): number {
    return this.#nextOffset;
  }

  /** Why the stream is broken, or null. */
  get fault(): FrameFault | null {
    return this.#fault;
  }

  /** Whether the end marker was read. */
  get done(): boolean {
    return this.#done;
  }

  /** The number of dropped frames: repeated ones and those of other attempts. */
  get dropped(): number {
    return this.#dropped;
  }

  /** Reads the next bytes. Bytes after a fault or the end marker are ignored. */
  push(chunk: Buffer): void {
    if (!this.#mayCompleteFrame(chunk)) {
      this.#retain(chunk);
      return;
    }
    const bytes = this.#withRemainder(chunk);
    let start = 0;
    while (this.#fault === null && !this.#done) {
      const next = this.#readFrame(bytes, start);
      if (next < 0) break;
      start = next;
    }
    this.#retain(bytes.subarray(start));
  }

  /** Only then is the remainder joined, so that a frame in many chunks is copied and searched once. */
  #mayCompleteFrame(chunk: Buffer): boolean {
    if (this.#remainder.length === 0) return true;
    const endsAtChunk = this.#remainderEndsLine && chunk[0] === LINE_FEED;
    return endsAtChunk || chunk.indexOf(FRAME_END) >= 0;
  }

  #withRemainder(chunk: Buffer): Buffer {
    if (this.#remainder.length === 0) return chunk;
    this.#remainder.add(chunk);
    const bytes = this.#remainder.join();
    this.#remainder.clear();
    return bytes;
  }

  /** Keeps the bytes of an incomplete frame. */
  #retain(bytes: Buffer): void {
    const isOver = this.#fault !== null || this.#done;
    if (isOver || bytes.length === 0) return;
    this.#remainder.add(bytes);
    this.#remainderEndsLine = bytes.at(-1) === LINE_FEED;
    if (this.#remainder.length <= this.#maxFrameBytes) return;
    this.#fault = 'frame-too-large';
    this.#remainder.clear();
  }

  /** Reads the frame at `start`. Returns the position after it, or -1 when it is incomplete. */
  #readFrame(bytes: Buffer, start: number): number {
    const own = this.#readOwnFrame(bytes, start);
    if (own >= 0) return own;
    const end = bytes.indexOf(FRAME_END, start);
    if (end < 0) return -1;
    if (end - start > this.#maxFrameBytes) this.#fault = 'frame-too-large';
    else this.#handleFrame(bytes, start, end);
    return end + FRAME_END.length;
  }

  /**
   * The fast path for a complete frame of this attempt with one data line. Returns the position
   * after the frame, or -1 when the frame needs the general path.
   */
  #readOwnFrame(bytes: Buffer, start: number): number {
    if (!startsWith(bytes, this.#ownIdField, start, bytes.length)) return -1;
    const idStart = start + this.#ownIdField.length;
    const lineEnd = skipDigits(bytes, idStart);
    const offset = readOffset(bytes, idStart, lineEnd);
    if (offset < 0 || !startsWith(bytes, LF_DATA_FIELD, lineEnd, bytes.length)) return -1;
    const dataStart = lineEnd + LF_DATA_FIELD.length;
    const end = bytes.indexOf(LINE_FEED, dataStart);
    if (end < 0 || bytes[end + 1] !== LINE_FEED || end - start > this.#maxFrameBytes) return -1;
    this.#handleOwnFrame(bytes, dataStart, end, offset);
    return end + FRAME_END.length;
  }

  #handleFrame(bytes: Buffer, start: number, end: number): void {
    if (startsWith(bytes, ID_FIELD, start, end)) this.#handleFrameWithId(bytes, start, end);
    else this.#handleFrameWithoutId(bytes, start, end);
  }

  /** A frame without an id must be the end marker or a comment; any other is malformed. */
  #handleFrameWithoutId(bytes: Buffer, start: number, end: number): void {
    if (bytes[start] === 0x3a || start === end) return;
    const data = start + DATA_FIELD.length;
    const marker =
      startsWith(bytes, DATA_FIELD, start, end) &&
      end - data === DONE.length &&
      startsWith(bytes, DONE, data, end);
    if (!marker) {
      this.#fault = 'malformed-frame';
      return;
    }
    this.#done = true;
    this.#sink.done();
  }

  #handleFrameWithId(bytes: Buffer, start: number, end: number): void {
    const idStart = start + ID_FIELD.length;
    const lineEnd = bytes.indexOf(LINE_FEED, idStart);
    if (lineEnd < 0 || lineEnd >= end) {
      this.#fault = 'malformed-frame';
      return;
    }
    if (!startsWith(bytes, this.#ownIdPrefix, idStart, lineEnd)) {
      this.#dropped += 1;
      return;
    }
    const offset = readOffset(bytes, idStart + this.#ownIdPrefix.length, lineEnd);
    const dataStart = lineEnd + 1;
    const oneLine = bytes.indexOf(LINE_FEED, dataStart) === end;
    if (offset < 0 || !oneLine || !startsWith(bytes, DATA_FIELD, dataStart, end)) {
      this.#fault = 'malformed-frame';
      return;
    }
    this.#handleOwnFrame(bytes, dataStart + DATA_FIELD.length, end, offset);
  }

  #handleOwnFrame(bytes: Buffer, start: number, end: number, offset: number): void {
    if (offset < this.#nextOffset) {
      this.#dropped += 1;
      return;
    }
    if (offset > this.#nextOffset) {
      this.#fault = 'offset-gap';
      return;
    }
    const kind = this.#sink.frame(bytes, start, end);
    if (kind === 'token') this.#nextOffset += 1;
    else if (kind === 'malformed') this.#fault = 'malformed-frame';
  }
}

function startsWith(bytes: Buffer, prefix: Buffer, start: number, end: number): boolean {
  const length = prefix.length;
  if (end - start < length) return false;
  for (let index = 0; index < length; index += 1) {
    if (bytes[start + index] !== prefix[index]) return false;
  }
  return true;
}

/** The position after the digits at `start`; skips at most `MAX_OFFSET_DIGITS` + 1 of them. */
function skipDigits(bytes: Buffer, start: number): number {
  const limit = start + MAX_OFFSET_DIGITS + 1;
  let position = start;
  while (position < limit) {
    const digit = bytes[position] ?? 0;
    if (digit < ZERO || digit > NINE) break;
    position += 1;
  }
  return position;
}

/** The decimal number between `start` and `end`, or -1 when it is not a valid offset. */
function readOffset(bytes: Buffer, start: number, end: number): number {
  const digits = end - start;
  if (digits < 1 || digits > MAX_OFFSET_DIGITS) return -1;
  let value = 0;
  for (let index = start; index < end; index += 1) {
    const digit = bytes[index] ?? 0;
    if (digit < ZERO || digit > NINE) return -1;
    value = value * 10 + (digit - ZERO);
  }
  return value;
}
