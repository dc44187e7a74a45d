/** Counts the work that this daemon has had done, by pool, between two reports. Updated in place. */
import type { BackendName, PoolName, RequestId } from '../common/identifiers.js';
import type { RequestNotice } from '../requests/index.js';

/** Work that was done. */
export interface DemandCount {
  readonly requests: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Nothing done. */
export const NO_DEMAND: DemandCount = { requests: 0, promptTokens: 0, outputTokens: 0 };

/** The sum of two counts. */
export function addDemand(one: DemandCount, other: DemandCount): DemandCount {
  return {
    requests: one.requests + other.requests,
    promptTokens: one.promptTokens + other.promptTokens,
    outputTokens: one.outputTokens + other.outputTokens,
  };
}

/** The meter. */
export class DemandMeter {
  readonly #lastBackends = new Map<RequestId, BackendName>();
  #counts = new Map<PoolName, DemandCount>();

  /** Takes a notice of the request table. `poolOf` is null for what is not an engine. */
  recordNotice(notice: RequestNotice, poolOf: (backend: BackendName) => PoolName | null): void {
    const { id } = notice.description;
    if (notice.kind === 'attempt-started') {
      this.#lastBackends.set(id, notice.backend);
      return;
    }
    if (notice.kind !== 'request-ended') {
      return;
    }
    const backend = this.#lastBackends.get(id);
    this.#lastBackends.delete(id);
    const pool = backend === undefined ? null : poolOf(backend);
    if (pool !== null && notice.result === 'answered') {
      const { promptTokens, outputTokens } = notice;
      const known = this.#counts.get(pool) ?? NO_DEMAND;
      this.#counts.set(pool, addDemand(known, { requests: 1, promptTokens, outputTokens }));
    }
  }

  /** The counts since the last call. */
  takeAndReset(): ReadonlyMap<PoolName, DemandCount> {
    const counts = this.#counts;
    this.#counts = new Map();
    return counts;
  }
}
