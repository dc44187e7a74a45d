/**
 * Keeps servers in use whose rows expired during an outage of the platform's store: a running server could not renew its
 * row, and writes it again within a short time after the store's return. A server that was draining, and one whose row is
 * still missing after that time, has left.
 */
import type { ServerDirectory, ServerRecord } from './server-directory.js';

/** Running servers have written their rows again within this time after the store's return. */
export const REWRITTEN_MS = 2_500;

/** Servers without a row that stay in use for now. */
export interface KeptServers {
  readonly all: readonly ServerRecord[];
  /** Those that had a row when the list was last looked at. */
  readonly added: readonly ServerRecord[];
}

/** The servers that are used without a row. */
export class ExpiredRows {
  /** Until when each is used; a further return of the store does not extend it. */
  readonly #keptUntilMs = new Map<string, number>();
  #untilMs = Number.NEGATIVE_INFINITY;

  /** The store is back after an outage. */
  begin(nowMs: number): void {
    this.#untilMs = nowMs + REWRITTEN_MS;
  }

  /** When the next of the servers without a row is due to be removed; undefined if none is kept. */
  get nextEndMs(): number | undefined {
    return this.#keptUntilMs.size === 0 ? undefined : Math.min(...this.#keptUntilMs.values());
  }

  /** Ends the exception for a server, as its row exists or it is known to have left. @returns whether it was kept */
  release(id: string): boolean {
    return this.#keptUntilMs.delete(id);
  }

  /** Decides which of the servers that have no row stay in use. */
  keep(
    missingIds: readonly string[],
    directory: Pick<ServerDirectory, 'get'>,
    nowMs: number,
  ): KeptServers {
    const endOf = (id: string) => this.#keptUntilMs.get(id) ?? this.#untilMs;
    const all = missingIds
      .filter((id) => nowMs < endOf(id))
      .flatMap((id) => directory.get(id) ?? [])
      .filter(({ state }) => state !== 'draining');
    const added = all.filter(({ id }) => !this.#keptUntilMs.has(id));
    for (const { id } of added) this.#keptUntilMs.set(id, this.#untilMs);
    return { all, added };
  }

  /** The servers whose rows were not written again in time, each once. */
  takeMissing(nowMs: number): readonly string[] {
    const missing = [...this.#keptUntilMs].filter(([, untilMs]) => untilMs <= nowMs);
    for (const [id] of missing) this.#keptUntilMs.delete(id);
    return missing.map(([id]) => id);
  }
}
