/** Rows of a watched table that cannot be read, and why: each problem is worth one line in the log. */

/** Rows remembered; a table with more of them has one problem, and each row is told once all the same. */
const MOST_ROWS = 1_024;

/** The rows that cannot be read now. */
export class UnreadableRows {
  readonly #problems = new Map<string, string>();

  get count(): number {
    return this.#problems.size;
  }

  /** @returns whether that is news */
  add(key: string, problem: string): boolean {
    if (this.#problems.get(key) === problem) return false;
    if (this.#problems.size < MOST_ROWS) this.#problems.set(key, problem);
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
