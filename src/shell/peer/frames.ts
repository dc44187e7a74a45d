/**
 * Frames on a stream. The accepting side first sends a random nonce. A frame consists of its
 * content's length, a tag over the length, the content and a tag over the content. Both tags also
 * cover the nonce and the frame's number, so a recorded frame can't be replayed on another
 * connection or at another position. The tag over the length is checked before the content is read,
 * so no content is buffered for a sender without the fleet key.
 */
import { ByteCollector } from '../bytes/index.js';
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

/** What a part of a frame is: its head, or its content and the tag over it. */
type FramePart =
  | { readonly kind: 'head' }
  | { readonly kind: 'content'; readonly contentBytes: number };

const HEAD: FramePart = { kind: 'head' };

/** Reads the frames of one connection, in order. */
export class FrameReader {
  private number = 0;
  private part: FramePart = HEAD;
  /** The beginning of the part that is being read. */
  private readonly collected = new ByteCollector();

  constructor(
    private readonly authenticator: Authenticator,
    private readonly nonce: Buffer,
  ) {}

  /** Reads bytes and returns the contents of the frames that they complete. */
  read(chunk: Buffer): ReadOutcome {
    const contents: Buffer[] = [];
    let rest = chunk;
    while (this.missingBytes() <= rest.length) {
      const missing = this.missingBytes();
      const problem = this.readPart(this.completePart(rest.subarray(0, missing)), contents);
      if (problem !== null) return { kind: 'broken', reason: problem };
      rest = rest.subarray(missing);
    }
    this.collected.add(rest);
    return { kind: 'frames', contents };
  }

  private missingBytes(): number {
    return partBytes(this.part) - this.collected.length;
  }

  private completePart(end: Buffer): Buffer {
    if (this.collected.length === 0) return end;
    this.collected.add(end);
    const bytes = this.collected.join();
    this.collected.clear();
    return bytes;
  }

  private readPart(bytes: Buffer, contents: Buffer[]): 'unauthenticated' | 'oversize' | null {
    if (this.part.kind === 'head') return this.readHead(bytes);
    const content = this.readContent(bytes, this.part.contentBytes);
    if (content === null) return 'unauthenticated';
    contents.push(content);
    return null;
  }

  private readHead(head: Buffer): 'unauthenticated' | 'oversize' | null {
    const length = head.subarray(0, LENGTH_BYTES);
    const position = framePosition(this.nonce, this.number);
    const tag = head.subarray(LENGTH_BYTES);
    if (!this.authenticator.matches(tag, 'frame-length', position, length)) {
      return 'unauthenticated';
    }
    const contentBytes = length.readUInt32BE();
    this.part = { kind: 'content', contentBytes };
    return contentBytes > MAX_FRAME_BYTES ? 'oversize' : null;
  }

  /** The content, or null if its tag does not match. */
  private readContent(bytes: Buffer, contentBytes: number): Buffer | null {
    const content = bytes.subarray(0, contentBytes);
    const tag = bytes.subarray(contentBytes);
    const position = framePosition(this.nonce, this.number);
    if (!this.authenticator.matches(tag, 'frame-content', position, content)) return null;
    this.number += 1;
    this.part = HEAD;
    return content;
  }
}

function partBytes(part: FramePart): number {
  return part.kind === 'head' ? HEAD_BYTES : part.contentBytes + TAG_BYTES;
}

function framePosition(nonce: Buffer, number: number): Buffer {
  const position = Buffer.alloc(NONCE_BYTES + NUMBER_BYTES);
  nonce.copy(position);
  position.writeUIntBE(number, NONCE_BYTES, NUMBER_BYTES);
  return position;
}
