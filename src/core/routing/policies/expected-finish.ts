/**
 * Expected finish, the default: of a few engines drawn at random from the own zone, a few from the
 * whole fleet and those thought to hold the prompt's prefix, the one that is expected to finish
 * first. An engine of another zone must be ahead by the spill threshold.
 */
import type { Milliseconds } from '../../common/time.js';
import type { EngineEntry } from '../engine-entry.js';
import {
  type CandidatePool,
  drawEligible,
  firstEligibleFrom,
  type RoutingPolicy,
} from '../policy.js';

/** What may be tuned. */
export interface ExpectedFinishOptions {
  /** Draws from the own zone. */
  readonly localChoices: number;
  /** Draws from the whole fleet. */
  readonly fleetChoices: number;
  /** How much sooner an engine of another zone must be expected to finish. */
  readonly spillThresholdMs: Milliseconds;
}

/** The defaults; docs/decisions/routing-policy.md says what decided them. */
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
