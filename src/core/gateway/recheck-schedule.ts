/**
 * When a table of the store is read whole again after a disturbance: whole reads may be stale then, for how long nobody
 * says. They come ever more seldom, so the first that is stale no more comes within a held call and an eighth of the
 * time that they were.
 */

/** A whole read is not due, is due, or is due for the last time. */
export type Recheck = 'none' | 'due' | 'last';

const GAP_SHARE = 1 / 8;

interface Disturbance {
  readonly sinceMs: number;
  readonly nextReadMs: number;
  readonly untilMs: number;
}

/** The whole reads after the last disturbance. */
export class RecheckSchedule {
  #disturbance: Disturbance | undefined;

  /** Whether whole reads may still be stale. */
  get isUnderWay(): boolean {
    return this.#disturbance !== undefined;
  }

  /** A disturbance: the table is to be read again for so long; a longer time that is under way goes on. */
  begin(nowMs: number, spanMs: number): void {
    const untilMs = Math.max(nowMs + spanMs, this.#disturbance?.untilMs ?? 0);
    this.#disturbance = { sinceMs: nowMs, nextReadMs: nowMs, untilMs };
  }

  /** Others see to it. */
  end(): void {
    this.#disturbance = undefined;
  }

  /** What is due; it counts as done from here on. */
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
