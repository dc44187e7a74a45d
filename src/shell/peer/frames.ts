/**
 * Frames on a stream. The accepting side first sends a random nonce. A frame consists of its
 * content's length, a tag over the length, the content and a tag over the content. Both tags also
 * cover the nonce and the frame's number, so a recorded frame can't be replayed on another
 * connection or at another position. The tag over the length is checked before the content is read,
 * so no content is buffered for a sender without the fleet key.
 */
import { type Authenticator, TAG_BYTES } from './authentication.js';

/** The length of the accepting side's nonce in bytes. */
export const NONCE_BYTES = 16;
/** The maximum content of a frame: the largest object of the store and its envelope. */
const MAX_FRAME_BYTES = 17_000_000;

const LENGTH_BYTES = 4;
const HEAD_BYTES = LENGTH_BYTES + TAG_BYTES;
const NUMBER_BYTES = 6;

/** Creates the frames of one connection, in order. */
export class FrameWriter {
  private number = 0;

  constructor(
    private readonly authenticator: Authenticator,
    private readonly nonce: Buffer,
  ) {}

  /** The bytes of the next frame. */
  write(content: Buffer): Buffer {
    const position = framePosition(this.nonce, this.number);
    this.number += 1;
    const length = Buffer.alloc(LENGTH_BYTES);
    length.writeUInt32BE(content.length);
    const lengthTag = this.authenticator.tag('frame-length', position, length);
    const contentTag = this.authenticator.tag('frame-content', position, content);
    return Buffer.concat([length, lengthTag, content, contentTag]);
  }
}

/** The result of reading: completed frames, or an error that requires closing the connection. */
export type ReadOutcome =
  | { readonly kind: 'frames'; readonly contents: readonly Buffer[] }
  | { readonly kind: 'broken'; readonly reason: 'unauthenticated' | 'oversize' };

/** Reads the frames of one connection, in order. */
export class FrameReader {
  private number = 0;
  private chunks: Buffer[] = [];
  private buffered = 0;
  /** The length of the content that is being read; null while the head is being read. */
  private contentBytes: number | null = null;

  constructor(
    private readonly authenticator: Authenticator,
    private readonly nonce: Buffer,
  ) {}

  /** Reads bytes and returns the contents of the frames that they complete. */
  read(chunk: Buffer): ReadOutcome {
    this.chunks.push(chunk);
    this.buffered += chunk.length;
    const contents: Buffer[] = [];
    for (;;) {
      const outcome = this.contentBytes === null ? this.readHead() : this.readContent(contents);
      if (outcome === 'incomplete') {
        return { kind: 'frames', contents };
      }
      if (outcome !== 'progress') {
        return { kind: 'broken', reason: outcome };
      }
    }
  }

  private readHead(): 'incomplete' | 'progress' | 'unauthenticated' | 'oversize' {
    if (this.buffered < HEAD_BYTES) {
      return 'incomplete';
    }
    const head = this.consume(HEAD_BYTES);
    const length = head.subarray(0, LENGTH_BYTES);
    const position = framePosition(this.nonce, this.number);
    const tag = head.subarray(LENGTH_BYTES);
    if (!this.authenticator.matches(tag, 'frame-length', position, length)) {
      return 'unauthenticated';
    }
    this.contentBytes = length.readUInt32BE();
    return this.contentBytes > MAX_FRAME_BYTES ? 'oversize' : 'progress';
  }

  private readContent(contents: Buffer[]): 'incomplete' | 'progress' | 'unauthenticated' {
    const contentBytes = this.contentBytes ?? 0;
    if (this.buffered < contentBytes + TAG_BYTES) {
      return 'incomplete';
    }
    const content = this.consume(contentBytes);
    const tag = this.consume(TAG_BYTES);
    const position = framePosition(this.nonce, this.number);
    if (!this.authenticator.matches(tag, 'frame-content', position, content)) {
      return 'unauthenticated';
    }
    this.number += 1;
    this.contentBytes = null;
    contents.push(content);
    return 'progress';
  }

  private consume(bytes: number): Buffer {
    const all = this.chunks.length === 1 ? this.chunks[0] : Buffer.concat(this.chunks);
    const joined = all ?? Buffer.alloc(0);
    this.chunks = [joined.subarray(bytes)];
    this.buffered -= bytes;
    return joined.subarray(0, bytes);
  }
}

function framePosition(nonce: Buffer, number: number): Buffer {
  const position = Buffer.alloc(NONCE_BYTES + NUMBER_BYTES);
  nonce.copy(position);
  position.writeUIntBE(number, NONCE_BYTES, NUMBER_BYTES);
  return position;
}
