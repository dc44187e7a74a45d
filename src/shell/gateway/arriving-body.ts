/** The body of one request while it arrives, and the memory that it takes. */
import type { MemoryReservation } from '../../core/gateway/index.js';
import { ByteCollector, type HeldBytes } from '../bytes/index.js';

/** Collects one body, and accounts for its memory in the reservation of its request. */
export class ArrivingBody {
  readonly #memory: MemoryReservation;
  readonly #held: HeldBytes;
  readonly #collector = new ByteCollector();
  #reservedBytes: number;
  #countedBytes = 0;
  #countedObjects = 0;

  /** @param reservedBytes what the reservation already has for the body */
  constructor(memory: MemoryReservation, reservedBytes: number, held: HeldBytes) {
    this.#memory = memory;
    this.#reservedBytes = reservedBytes;
    this.#held = held;
  }

  /** The number of bytes that have arrived. */
  get length(): number {
    return this.#collector.length;
  }

  /**
   * Adds a chunk.
   * @returns false where there is no memory for it
   */
  add(chunk: Buffer): boolean {
    this.#collector.add(chunk);
    const { heldBytes, blockCount } = this.#collector;
    this.#count(heldBytes, blockCount);
    return this.#reserve(heldBytes);
  }

  /** Makes one Buffer of the body; its memory is held until `clear` is called. */
  join(): Buffer {
    const { blockCount, heldBytes } = this.#collector;
    const body = this.#collector.join();
    const bodyBytes = blockCount > 1 ? body.length : heldBytes;
    this.#collector.clear();
    this.#count(bodyBytes, 1);
    this.#fit(bodyBytes);
    return body;
  }

  /** Gives the memory of the body back. */
  clear(): void {
    this.#collector.clear();
    this.#count(0, 0);
    this.#fit(0);
  }

  #reserve(bytes: number): boolean {
    if (bytes <= this.#reservedBytes) return true;
    if (!this.#memory.grow(bytes - this.#reservedBytes)) return false;
    this.#reservedBytes = bytes;
    return true;
  }

  #fit(bytes: number): void {
    if (bytes >= this.#reservedBytes) return;
    this.#memory.shrink(this.#reservedBytes - bytes);
    this.#reservedBytes = bytes;
  }

  #count(bytes: number, objects: number): void {
    this.#held.change(bytes - this.#countedBytes, objects - this.#countedObjects);
    this.#countedBytes = bytes;
    this.#countedObjects = objects;
  }
}
