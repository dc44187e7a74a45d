/**
 * Expected finish, the default policy. Candidates are a few random engines of the daemon's own
 * zone, a few of the entire fleet and those that probably cached the prompt's prefix. The candidate
 * that is expected to finish first is chosen; an engine of another zone must be faster by the spill
 * threshold.
 */
import type { Milliseconds } from '../../common/time.js';
import type { EngineEntry } from '../engine-entry.js';
import {
  type CandidatePool,
  drawEligible,
  firstEligibleFrom,
  type RoutingPolicy,
} from '../policy.js';

/** The options of the policy. */
export interface ExpectedFinishOptions {
  /** Number of draws from the daemon's own zone. */
  readonly localChoices: number;
  /** Number of draws from the entire fleet. */
  readonly fleetChoices: number;
  /** How much earlier an engine of another zone must be expected to finish. */
  readonly spillThresholdMs: Milliseconds;
}

/** The default options; docs/decisions/routing-policy.md gives the reasons. */
const EXPECTED_FINISH_DEFAULTS: ExpectedFinishOptions = {
  localChoices: 2,
  fleetChoices: 2,
  spillThresholdMs: 100,
};

/** Creates an expected-finish policy. */
export function expectedFinish(options: Partial<ExpectedFinishOptions> = {}): RoutingPolicy {
  const resolvedOptions: ExpectedFinishOptions = { ...EXPECTED_FINISH_DEFAULTS, ...options };
  return { name: 'expected-finish', choose: (pool) => choose(pool, resolvedOptions) };
}

function choose(pool: CandidatePool, options: ExpectedFinishOptions): EngineEntry | null {
  if (pool.all.length === 0) {
    return null;
  }
  const best = new BestCandidate(pool, options.spillThresholdMs);
  for (let draw = 0; draw < options.localChoices; draw += 1) {
    best.consider(drawEligible(pool, pool.local));
  }
  for (let draw = 0; draw < options.fleetChoices; draw += 1) {
    best.consider(drawEligible(pool, pool.all));
  }
  for (const entry of pool.prefixHolders) {
    best.consider(pool.isEligible(entry) ? entry : null);
  }
  return best.entry ?? firstEligibleFrom(pool, pool.draws.below(pool.all.length));
}

class BestCandidate {
  entry: EngineEntry | null = null;
  readonly #pool: CandidatePool;
  readonly #localZone: string | undefined;
  readonly #spillThresholdMs: Milliseconds;
  #score = Number.POSITIVE_INFINITY;

  constructor(pool: CandidatePool, spillThresholdMs: Milliseconds) {
    this.#pool = pool;
    this.#localZone = pool.local[0]?.machine.zone;
    this.#spillThresholdMs = spillThresholdMs;
  }

  consider(entry: EngineEntry | null): void {
    if (entry === null || entry === this.entry) {
      return;
    }
    const isLocal = entry.machine.zone === this.#localZone;
    const penalty = isLocal ? 0 : this.#spillThresholdMs;
    const score = this.#pool.expectedFinishMs(entry) + penalty;
    if (score < this.#score) {
      this.entry = entry;
      this.#score = score;
    }
  }
}
