/** Counts what messages of other programs hold while they are collected: bytes, and the objects that they are kept in. */
export class HeldBytes {
  #bytes = 0;
  #objects = 0;

  get bytes(): number {
    return this.#bytes;
  }

  /** Each takes some hundred bytes of heap besides its content. */
  get objects(): number {
    return this.#objects;
  }

  /** Adds to both, or takes away where they are negative. */
  change(bytes: number, objects: number): void {
    this.#bytes += bytes;
    this.#objects += objects;
  }
}
