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
  readonly #keptIds = new Set<string>();
  #untilMs = Number.NEGATIVE_INFINITY;

  /** The store is back after an outage. */
  begin(nowMs: number): void {
    this.#untilMs = nowMs + REWRITTEN_MS;
  }

  /** Records that a server's row exists. */
  recordRow(id: string): void {
    this.#keptIds.delete(id);
  }

  /** Decides which of the servers that have no row stay in use. */
  keep(
    missingIds: readonly string[],
    directory: Pick<ServerDirectory, 'get'>,
    nowMs: number,
  ): KeptServers {
    if (nowMs >= this.#untilMs) return { all: [], added: [] };
    const all = missingIds
      .flatMap((id) => directory.get(id) ?? [])
      .filter(({ state }) => state !== 'draining');
    const added = all.filter(({ id }) => !this.#keptIds.has(id));
    for (const { id } of added) this.#keptIds.add(id);
    return { all, added };
  }

  /** The servers whose rows were not written again in time, each once. */
  takeMissing(): readonly string[] {
    const missing = [...this.#keptIds];
    this.#keptIds.clear();
    return missing;
  }
}
