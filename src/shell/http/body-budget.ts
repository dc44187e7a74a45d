/** Limits the memory that the bodies of requests take in all. */
export class BodyBudget {
  readonly #limitBytes: number;
  #heldBytes = 0;

  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  /** Bytes held now. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Reserves bytes; false when the total would exceed the limit. */
  tryReserve(bytes: number): boolean {
    if (this.#heldBytes + bytes > this.#limitBytes) return false;
    this.#heldBytes += bytes;
    return true;
  }

  /** Releases reserved bytes. */
  release(bytes: number): void {
    this.#heldBytes -= bytes;
  }
}
