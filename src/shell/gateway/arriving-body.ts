/** The body of one request or answer while it arrives, and the memory that it takes. */
import type { MemoryReservation } from '../../core/gateway/index.js';
import { ByteCollector, type HeldBytes } from '../bytes/index.js';

/** The reservation that a body is accounted for in. */
export type BodyMemory = Pick<MemoryReservation, 'grow' | 'shrink'>;

/** Collects one body, and accounts for its memory in the reservation of its request. */
export class ArrivingBody {
  readonly #memory: BodyMemory;
  readonly #held: HeldBytes;
  readonly #collector = new ByteCollector();
  #reservedBytes = 0;
  #countedBytes = 0;
  #countedObjects = 0;

  constructor(memory: BodyMemory, held: HeldBytes) {
    this.#memory = memory;
    this.#held = held;
  }

  /** The number of bytes that have arrived. */
  get length(): number {
    return this.#collector.length;
  }

  /** Memory of what has arrived. */
  get heldBytes(): number {
    return this.#countedBytes;
  }

  /** Adds a chunk, for which memory has to be reserved. */
  add(chunk: Buffer): void {
    this.#collector.add(chunk);
    this.#count(this.#collector.heldBytes, this.#collector.blockCount);
  }

  /**
   * Reserves the memory of what has arrived.
   * @returns whether there was memory for it
   */
  reserve(): boolean {
    const { heldBytes } = this.#collector;
    if (heldBytes > this.#reservedBytes) {
      if (!this.#memory.grow(heldBytes - this.#reservedBytes)) return false;
      this.#reservedBytes = heldBytes;
    }
    return true;
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

  /** Makes one Buffer of a body that others hold from now on; its memory stays reserved until the reservation is released. */
  handOver(): Buffer {
    const body = this.join();
    this.#count(0, 0);
    this.#reservedBytes = 0;
    return body;
  }

  /** Gives the memory of the body back. */
  clear(): void {
    this.#collector.clear();
    this.#count(0, 0);
    this.#fit(0);
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
