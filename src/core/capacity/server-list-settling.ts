/**
 * Decides when the server list of a newly started fleet is complete, so that its length is the number of servers that
 * the fleet was set up with. Servers add themselves one by one as each starts to serve, so another one may follow
 * within a boot time.
 */

/** The minimum time for which the list must be unchanged, however fast servers boot. */
const MIN_SETTLE_MS = 1_500;

/** Watches the number of listed servers until it stops changing. */
export class ServerListSettling {
  #listed = 0;
  #unchangedSinceMs = 0;
  #isSettled = false;

  /**
   * Records the number of listed servers.
   * @param bootMs how long the slowest server takes from its start until it is listed
   * @returns whether the list has settled, now or before
   */
  update(listed: number, bootMs: number, nowMs: number): boolean {
    if (this.#isSettled) return true;
    if (listed !== this.#listed) this.#unchangedSinceMs = nowMs;
    this.#listed = listed;
    const settleMs = Math.max(MIN_SETTLE_MS, bootMs);
    this.#isSettled = listed > 0 && nowMs - this.#unchangedSinceMs >= settleMs;
    return this.#isSettled;
  }
}
