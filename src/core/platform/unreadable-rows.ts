/**
 * Rows of the store that cannot be used, with their problems: each problem is logged once, and only so many rows are named
 * that other lines can still be found.
 */
/** More unusable rows most likely have a single cause. */
const MAX_NAMED_ROWS = 100;

/** The problems that a schema found, of either interface of zod. */
interface SchemaError {
  readonly issues: readonly {
    readonly path: readonly PropertyKey[];
    readonly message: string;
  }[];
}

/** What a schema found wrong with a row, for the log. */
export function problemOf({ issues }: SchemaError): string {
  const [first] = issues;
  return first === undefined ? '' : `${first.path.join('.')}: ${first.message}`;
}

/** The rows of one table or prefix that cannot be used now. */
export class UnreadableRows {
  readonly #problems = new Map<string, string>();
  readonly #named = new Set<string>();

  get count(): number {
    return this.#problems.size;
  }

  /** The number of rows that are not named in the log. */
  get unnamed(): number {
    return this.#problems.size - this.#named.size;
  }

  /** @returns whether the log is to name the row and its problem */
  add(key: string, problem: string): boolean {
    if (this.#problems.get(key) === problem) return false;
    this.#problems.set(key, problem);
    if (!this.#named.has(key) && this.#named.size >= MAX_NAMED_ROWS) return false;
    this.#named.add(key);
    return true;
  }

  remove(key: string): void {
    this.#problems.delete(key);
    this.#named.delete(key);
  }

  /** Forgets rows that are no longer in the table. */
  retain(keys: ReadonlySet<string>): void {
    for (const key of [...this.#problems.keys()]) if (!keys.has(key)) this.remove(key);
  }
}
