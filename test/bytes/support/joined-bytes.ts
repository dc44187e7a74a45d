/** Measures how a part collects bytes: the Buffers that it joins, and the bytes that it copies and searches in all. */
import type { TestContext } from 'node:test';

/** What was joined and searched since the measurement began. */
export interface JoinedBytes {
  /** The most Buffers that were joined at once. */
  mostBuffers: number;
  /** Bytes of all joined Buffers. */
  copiedBytes: number;
  /** Bytes that `indexOf` looked at. */
  searchedBytes: number;
}

/** Measures until the test ends. */
export function measureJoinedBytes(context: TestContext): JoinedBytes {
  const joined: JoinedBytes = { mostBuffers: 0, copiedBytes: 0, searchedBytes: 0 };
  const concat = Buffer.concat;
  context.mock.method(Buffer, 'concat', (list: readonly Uint8Array[], length?: number) => {
    joined.mostBuffers = Math.max(joined.mostBuffers, list.length);
    const bytes = concat(list, length);
    joined.copiedBytes += bytes.length;
    return bytes;
  });
  const { indexOf } = Buffer.prototype;
  type Search = (this: Buffer, value: number | Uint8Array, from?: number) => number;
  const search: Search = function (value, from = 0) {
    const found = indexOf.call(this, value, from);
    joined.searchedBytes += (found < 0 ? this.length : found) - from;
    return found;
  };
  context.mock.method(Buffer.prototype, 'indexOf', search as typeof indexOf);
  return joined;
}

/** The bytes one by one. */
export function inSingleBytes(bytes: Buffer): Buffer[] {
  return Array.from(bytes, (byte) => Buffer.of(byte));
}

/** A body in chunks of one byte by the coding `chunked`, with its end. */
export function inTinyChunks(body: string): string {
  return `${[...body].map((character) => `1\r\n${character}\r\n`).join('')}0\r\n\r\n`;
}
