/**
 * The contract of a routing policy: it chooses one engine from a pool of engines that hold the
 * target. The pool, not the policy, decides which engines are eligible.
 */
import type { Milliseconds } from '../common/time.js';
import type { EngineEntry } from './engine-entry.js';
import type { RandomDraws } from './random-draws.js';

/** The engines to choose from for one request, with their estimates. */
export interface CandidatePool {
  /** Available engines that hold a served version, in a stable order. */
  readonly all: readonly EngineEntry[];
  /** The engines of `all` in the daemon's own zone. */
  readonly local: readonly EngineEntry[];
  /** Engines that probably cached a prefix of the prompt. A hint, possibly wrong. */
  readonly prefixHolders: readonly EngineEntry[];
  readonly draws: RandomDraws;
  /** Whether the request may be sent to the engine now. A policy must choose only such engines. */
  isEligible(entry: EngineEntry): boolean;
  /** Expected active requests at the engine: the reported count, corrected by this daemon's own. */
  expectedActive(entry: EngineEntry): number;
  /** Requests of this daemon in flight to the engine. */
  ownInFlight(entry: EngineEntry): number;
  /** Expected time until the engine has finished the request. */
  expectedFinishMs(entry: EngineEntry): Milliseconds;
}

/** A routing policy. An instance may have state, such as a cursor, and belongs to one daemon. */
export interface RoutingPolicy {
  readonly name: string;
  /** The chosen engine, or null when no engine of the pool is eligible. */
  choose(pool: CandidatePool): EngineEntry | null;
}

/** The first eligible engine from a start index on, wrapping around; null when there is none. */
export function firstEligibleFrom(pool: CandidatePool, start: number): EngineEntry | null {
  const size = pool.all.length;
  for (let step = 0; step < size; step += 1) {
    const entry = pool.all[(start + step) % size];
    if (entry !== undefined && pool.isEligible(entry)) {
      return entry;
    }
  }
  return null;
}

/**
 * An eligible engine drawn at random from `entries`, or null after `MAX_DRAWS` ineligible draws.
 */
export function drawEligible(
  pool: CandidatePool,
  entries: readonly EngineEntry[],
): EngineEntry | null {
  if (entries.length === 0) {
    return null;
  }
  for (let tries = 0; tries < MAX_DRAWS; tries += 1) {
    const entry = entries[pool.draws.below(entries.length)];
    if (entry !== undefined && pool.isEligible(entry)) {
      return entry;
    }
  }
  return null;
}

/** Number of ineligible draws after which `drawEligible` returns null. */
const MAX_DRAWS = 4;
