/**
 * When the list of a fleet that has just started can be taken for what was given to it. Servers list themselves one by
 * one, each as soon as it serves: what takes as long as a boot may still be coming.
 */

/** No further server comes for at least this long, however fast they boot. */
const LEAST_SETTLE_MS = 1_500;

/** Watches the number of listed servers until it stands. */
export class ServerListSettling {
  #listed = 0;
  #sinceMs = 0;
  #isSettled = false;

  /**
   * So many servers are listed now.
   * @param bootMs how long the slowest takes from its start until it is listed
   * @returns whether the list has settled, now or before
   */
  update(listed: number, bootMs: number, nowMs: number): boolean {
    if (this.#isSettled) return true;
    if (listed !== this.#listed) this.#sinceMs = nowMs;
    this.#listed = listed;
    const settleMs = Math.max(LEAST_SETTLE_MS, bootMs);
    this.#isSettled = listed > 0 && nowMs - this.#sinceMs >= settleMs;
    return this.#isSettled;
  }
}
