/** The number of servers that a service needs: raised at once, lowered only after a lasting decrease. */

interface TimedNeed {
  readonly servers: number;
  readonly atMs: number;
}

/**
 * The time for which a peak counts, in boot times. Servers removed during a short lull would boot too late for the
 * work after it.
 */
const HOLD_BOOTS = 5;

/** The peak need within the last `HOLD_BOOTS` boot times. */
export class RecentPeakNeed {
  /** In order of time, each lower than the one before. */
  #peaks: TimedNeed[] = [];

  /** Records the current need and returns the peak. */
  update(servers: number, bootMs: number, nowMs: number): number {
    const oldestMs = nowMs - HOLD_BOOTS * bootMs;
    this.#peaks = this.#peaks.filter((peak) => peak.servers > servers && peak.atMs >= oldestMs);
    this.#peaks.push({ servers, atMs: nowMs });
    return this.#peaks[0]?.servers ?? servers;
  }
}
