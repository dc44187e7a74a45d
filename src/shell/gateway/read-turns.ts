/**
 * Turns of connections that send in tiny chunks. The parser needs up to a hundred times longer for a read of these than for
 * others, and the event loop goes through all connections in one turn: one of these is read in each, so that the others wait
 * for one at most.
 */

/** Gives turns, in the order in which they were asked for. */
export class ReadTurns {
  readonly #waiting: (() => void)[] = [];

  /** Calls `take` when it is the turn of the one that waits. */
  wait(take: () => void): void {
    this.#waiting.push(take);
    if (this.#waiting.length === 1) setImmediate(this.#next);
  }

  readonly #next = (): void => {
    this.#waiting.shift()?.();
    if (this.#waiting.length > 0) setImmediate(this.#next);
  };
}
