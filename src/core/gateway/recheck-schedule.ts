/**
 * Schedules repeated full reads of a table after a disturbance of the store: full reads may be stale then, for a time
 * that the store does not report. The gap between reads grows to an eighth of the time since the disturbance, so the
 * first current read follows the end of the stale period within a long poll and an eighth of that period.
 */

/** A full read is not due, is due, or is due for the last time. */
export type Recheck = 'none' | 'due' | 'last';

/** The gap between two reads, as a share of the time since the disturbance. */
const GAP_SHARE = 1 / 8;

interface Disturbance {
  readonly sinceMs: number;
  readonly nextReadMs: number;
  readonly untilMs: number;
}

/** The full reads after the last disturbance. */
export class RecheckSchedule {
  #disturbance: Disturbance | undefined;

  /** Whether full reads may still be stale. */
  get isUnderWay(): boolean {
    return this.#disturbance !== undefined;
  }

  /** Starts rereads after a disturbance, for `spanMs`; an earlier period that ends later is not shortened. */
  begin(nowMs: number, spanMs: number): void {
    const untilMs = Math.max(nowMs + spanMs, this.#disturbance?.untilMs ?? 0);
    this.#disturbance = { sinceMs: nowMs, nextReadMs: nowMs, untilMs };
  }

  /** Ends the rereads: the relay does them for the zone, or its progress was adopted. */
  end(): void {
    this.#disturbance = undefined;
  }

  /** Whether a read is due now; a due read is recorded as done. */
  next(nowMs: number): Recheck {
    const known = this.#disturbance;
    if (known === undefined || nowMs < known.nextReadMs) return 'none';
    if (nowMs >= known.untilMs) {
      this.#disturbance = undefined;
      return 'last';
    }
    const nextReadMs = nowMs + (nowMs - known.sinceMs) * GAP_SHARE;
    this.#disturbance = { ...known, nextReadMs };
    return 'due';
  }
}
