/**
 * Counts the requests of each tenant that started to run, by windows of wall-clock time. Each daemon counts its own
 * requests and keeps a window until it can no longer be reported.
 */

/** The number of runs that started, by tenant name. */
export type TenantCounts = ReadonlyMap<string, number>;

const NO_COUNTS: TenantCounts = new Map();

/** The number of the window that contains a time: window k starts k window lengths after the Unix epoch. */
export function windowAt(unixMs: number, windowMs: number): number {
  return Math.floor(unixMs / windowMs);
}

/** One daemon's own counts. */
export class UsageCounts {
  readonly #windowMs: number;
  /** The number of windows kept in addition to the current one. */
  readonly #retainedWindows: number;
  readonly #byWindow = new Map<number, Map<string, number>>();

  /**
   * @param windowMs the length of a window
   * @param retentionMs how long after its end a window may be requested
   */
  constructor(windowMs: number, retentionMs: number) {
    this.#windowMs = windowMs;
    this.#retainedWindows = Math.ceil(retentionMs / windowMs) + 1;
  }

  /** Records that a request of a tenant started to run. */
  recordRun(tenant: string, unixMs: number): void {
    const window = windowAt(unixMs, this.#windowMs);
    const counts = this.#byWindow.get(window) ?? this.#open(window);
    counts.set(tenant, (counts.get(tenant) ?? 0) + 1);
  }

  of(window: number): TenantCounts {
    return this.#byWindow.get(window) ?? NO_COUNTS;
  }

  #open(window: number): Map<string, number> {
    for (const old of [...this.#byWindow.keys()]) {
      if (old < window - this.#retainedWindows) this.#byWindow.delete(old);
    }
    const counts = new Map<string, number>();
    this.#byWindow.set(window, counts);
    return counts;
  }
}
