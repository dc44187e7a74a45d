/** Counts the runs of an order server by the caller's request key, to detect duplicate runs. */

const MAX_KEYS = 100_000;

/** The runs of one key. */
export interface KeyRuns {
  readonly key: string;
  readonly path: string;
  readonly runs: number;
}

/** Counts runs by key. */
export class OrderLedger {
  readonly #runs = new Map<string, KeyRuns>();
  #total = 0;

  /** Records a run and returns the number of runs of the key so far. */
  recordRun(key: string, path: string): number {
    const runs = (this.#runs.get(key)?.runs ?? 0) + 1;
    this.#runs.set(key, { key, path, runs });
    this.#total += 1;
    this.#forgetOldest();
    return runs;
  }

  /** The total number of runs and all retained keys. */
  page(): { readonly total: number; readonly keys: readonly KeyRuns[] } {
    return { total: this.#total, keys: [...this.#runs.values()] };
  }

  #forgetOldest(): void {
    if (this.#runs.size <= MAX_KEYS) return;
    const oldest = this.#runs.keys().next();
    if (oldest.done !== true) this.#runs.delete(oldest.value);
  }
}
