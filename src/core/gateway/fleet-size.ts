/**
 * The number of daemons among which fleet-wide limits are divided. If the number is too small, the shares add up to
 * more than the limit. A daemon therefore uses the largest fleet size that it has seen: a daemon that is no longer
 * listed may only be cut off and still use its share. The first list after a start may lack daemons that start at the
 * same time; it is trusted only once a later list is not longer. When only the last list counted, 59 daemons that each
 * assumed 15 sent 1,109 retries where 958 were allowed in a window (virtual time).
 */

/** Derives the size of the fleet from the lists of daemons. */
export class FleetSize {
  #listed: number | undefined;
  #largest = 0;
  #isConfirmed = false;

  /** Daemons in the last list, including this one; undefined until a list was read. */
  get listed(): number | undefined {
    return this.#listed;
  }

  /** Daemons that share the fleet's limits; undefined until the size is confirmed. */
  get sharers(): number | undefined {
    return this.#isConfirmed ? this.#largest : undefined;
  }

  /** Records the length of a list that was read, or that was found to match the relay's list. */
  recordListed(daemons: number): void {
    if (this.#listed !== undefined && daemons <= this.#largest) this.#isConfirmed = true;
    this.#listed = daemons;
    this.#largest = Math.max(this.#largest, daemons);
  }
}
