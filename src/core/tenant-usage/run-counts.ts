/**
 * How many requests of each tenant began to run, by windows of true time. Each daemon counts its own; a window
 * is kept until it can no longer be reported.
 */

/** Runs that began, by the tenant's name. */
export type TenantCounts = ReadonlyMap<string, number>;

const NO_COUNTS: TenantCounts = new Map();

/** The number of the window that a moment lies in: window k begins k window lengths after the start of 1970. */
export function windowAt(unixMs: number, windowMs: number): number {
  return Math.floor(unixMs / windowMs);
}

/** One daemon's own counts. */
export class UsageCounts {
  readonly #windowMs: number;
  /** Windows kept beside the one that runs. */
  readonly #keptWindows: number;
  readonly #byWindow = new Map<number, Map<string, number>>();

  /**
   * @param windowMs the length of a window
   * @param keptMs how long after its end a window may be asked for
   */
  constructor(windowMs: number, keptMs: number) {
    this.#windowMs = windowMs;
    this.#keptWindows = Math.ceil(keptMs / windowMs) + 1;
  }

  /** A request of a tenant began to run. */
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
      if (old < window - this.#keptWindows) this.#byWindow.delete(old);
    }
    const counts = new Map<string, number>();
    this.#byWindow.set(window, counts);
    return counts;
  }
}
