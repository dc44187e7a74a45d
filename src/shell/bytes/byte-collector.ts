/**
 * Collects bytes that another program sends in chunks of any size. Each Buffer takes some hundred bytes of heap besides its
 * content, so small chunks are copied into larger blocks: the number of objects is bounded by the number of bytes.
 */

import type { HeldBytes } from './held-bytes.js';

/** Chunks of this size are kept as they are; smaller ones are copied, as they may keep the larger buffer they were read into. */
const MIN_KEPT_CHUNK_BYTES = 32_768;
const MIN_BLOCK_BYTES = 256;
const MAX_BLOCK_BYTES = 65_536;
const NO_BYTES = Buffer.alloc(0);

/** The bytes of one message, in the order of their arrival. */
export class ByteCollector {
  readonly #held: HeldBytes | undefined;
  /** Complete blocks, in order. */
  #blocks: Buffer[] = [];
  /** The block that small chunks are copied into. */
  #open: Buffer = NO_BYTES;
  #openBytes = 0;
  #length = 0;
  #capacity = 0;

  /** @param held counts what this and other collectors hold; a collector counts there until it is cleared */
  constructor(held?: HeldBytes) {
    this.#held = held;
  }

  /** The number of bytes that were added. */
  get length(): number {
    return this.#length;
  }

  /** Memory of the blocks in bytes, unused parts included. */
  get heldBytes(): number {
    return this.#capacity;
  }

  /** The number of Buffers that hold the bytes. */
  get blockCount(): number {
    return this.#blocks.length + (this.#openBytes > 0 ? 1 : 0);
  }

  /** Adds a chunk, whose content must not change afterwards. */
  add(chunk: Buffer): void {
    if (chunk.length === 0) return;
    const bytesBefore = this.heldBytes;
    const blocksBefore = this.blockCount;
    if (chunk.length >= MIN_KEPT_CHUNK_BYTES) this.#keep(chunk);
    else this.#copy(chunk);
    this.#length += chunk.length;
    this.#held?.change(this.heldBytes - bytesBefore, this.blockCount - blocksBefore);
  }

  /** All bytes in one Buffer. */
  join(): Buffer {
    const open = this.#open.subarray(0, this.#openBytes);
    const [first] = this.#blocks;
    if (first === undefined) return open;
    if (this.#blocks.length === 1 && open.length === 0) return first;
    return Buffer.concat([...this.#blocks, open], this.#length);
  }

  /** Removes all bytes and releases their memory. */
  clear(): void {
    this.#held?.change(-this.heldBytes, -this.blockCount);
    this.#blocks = [];
    this.#open = NO_BYTES;
    this.#openBytes = 0;
    this.#length = 0;
    this.#capacity = 0;
  }

  #keep(chunk: Buffer): void {
    this.#closeBlock();
    this.#blocks.push(chunk);
    this.#capacity += chunk.length;
  }

  #copy(chunk: Buffer): void {
    let rest = chunk;
    while (rest.length > 0) {
      if (this.#openBytes === this.#open.length) this.#openBlock(rest.length);
      const copied = rest.copy(this.#open, this.#openBytes);
      this.#openBytes += copied;
      rest = rest.subarray(copied);
    }
  }

  /** Blocks grow with the message, so that a short one takes little and a long one few of them. */
  #openBlock(neededBytes: number): void {
    this.#closeBlock();
    const bytes = Math.max(MIN_BLOCK_BYTES, neededBytes, Math.min(this.#length, MAX_BLOCK_BYTES));
    this.#open = Buffer.allocUnsafeSlow(bytes);
    this.#capacity += bytes;
  }

  /** A block that is mostly unused is replaced by one that fits. */
  #closeBlock(): void {
    const used = this.#open.subarray(0, this.#openBytes);
    const isMostlyUnused = used.length < this.#open.length / 2;
    if (isMostlyUnused) this.#capacity -= this.#open.length - used.length;
    if (used.length > 0) this.#blocks.push(isMostlyUnused ? copyOf(used) : used);
    this.#open = NO_BYTES;
    this.#openBytes = 0;
  }
}

/** A copy with memory of its own, not a part of the pool that Node.js shares among small Buffers. */
function copyOf(bytes: Buffer): Buffer {
  const copy = Buffer.allocUnsafeSlow(bytes.length);
  bytes.copy(copy);
  return copy;
}
