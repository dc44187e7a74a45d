/** The servers that a service's work needs: up at once, down only when it has been lower for long. */

interface TimedNeed {
  readonly servers: number;
  readonly atMs: number;
}

/** So many boots: servers that were let go for a lull would come back too late for what follows it. */
const HOLD_BOOTS = 5;

/** The greatest need of the newest while. */
export class RecentPeakNeed {
  /** Each lower than the one before. */
  #peaks: TimedNeed[] = [];

  /** The need to count with, as it is this much now. */
  update(servers: number, bootMs: number, nowMs: number): number {
    const oldestMs = nowMs - HOLD_BOOTS * bootMs;
    this.#peaks = this.#peaks.filter((peak) => peak.servers > servers && peak.atMs >= oldestMs);
    this.#peaks.push({ servers, atMs: nowMs });
    return this.#peaks[0]?.servers ?? servers;
  }
}
