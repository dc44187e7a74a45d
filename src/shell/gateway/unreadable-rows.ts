/** Rows of a watched table that cannot be parsed, with their problems, so that each problem is logged once. */

/**
 * The largest number of rows that is remembered. More malformed rows most likely have a single cause; rows beyond this
 * number are logged with each read.
 */
const MAX_ROWS = 1_024;

/** The rows that currently cannot be parsed. */
export class UnreadableRows {
  readonly #problems = new Map<string, string>();

  get count(): number {
    return this.#problems.size;
  }

  /** @returns whether the problem is new for this row */
  add(key: string, problem: string): boolean {
    if (this.#problems.get(key) === problem) return false;
    if (this.#problems.size < MAX_ROWS) this.#problems.set(key, problem);
    return true;
  }

  remove(key: string): void {
    this.#problems.delete(key);
  }

  /** Forgets rows that are no longer in the table. */
  retain(keys: ReadonlySet<string>): void {
    for (const key of [...this.#problems.keys()]) if (!keys.has(key)) this.remove(key);
  }
}
