/** The pool that a routing policy chooses from: one candidate set, evaluated for one request. */
import type { BackendName } from '../common/identifiers.js';
import { PREFIX_BLOCK_CHARACTERS } from '../common/prefix-blocks.js';
import type { Milliseconds } from '../common/time.js';
import { type CandidateSet, NO_ENTRIES } from './candidate-set.js';
import type { EngineChoiceInput } from './decision.js';
import { type EngineEntry, type ExclusionReason, versionText } from './engine-entry.js';
import {
  type EstimateInput,
  expectedActive,
  expectedFinishMs,
  inFlightLimit,
} from './finish-estimate.js';
import type { OutstandingRecord } from './outstanding-table.js';
import type { CandidatePool } from './policy.js';
import type { PrefixMatch } from './prefix-index.js';
import { RandomDraws } from './random-draws.js';

/** Estimated characters of prompt text per token. */
const CHARACTERS_PER_TOKEN = 4;
/** Estimated prompt tokens per prefix block. */
const TOKENS_PER_BLOCK = PREFIX_BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN;
const NO_EJECTIONS: ReadonlySet<BackendName> = new Set();

/** Excludes engines that may not take the request and scores the others. */
export class CandidateView implements CandidatePool {
  readonly all: readonly EngineEntry[];
  readonly local: readonly EngineEntry[];
  readonly prefixHolders: readonly EngineEntry[];
  readonly draws: RandomDraws;
  readonly #input: EngineChoiceInput;
  readonly #key: string;
  readonly #matches: readonly PrefixMatch[];
  readonly #ejected: ReadonlySet<BackendName>;
  readonly #estimates: EstimateInput;
  /** The engine estimated last: its estimate serves both the eligibility check and the score. */
  #lastEntry: EngineEntry | null = null;
  #lastRecord: OutstandingRecord | undefined = undefined;
  #lastActive = 0;
  /** If true, ejected engines and engines that this request failed on are eligible again. */
  lenient = false;

  constructor(input: EngineChoiceInput, set: CandidateSet) {
    this.#input = input;
    this.#key = set.key;
    this.all = set.all;
    this.local = set.byZone.get(input.zone) ?? NO_ENTRIES;
    this.draws = new RandomDraws(input.context.entropy);
    this.#matches = input.prefixes.matches(input.target.prefixHashes);
    this.#estimates = estimateInput(input);
    this.#ejected = findEjectedCandidates(input, set);
    this.prefixHolders = this.#matches.length === 0 ? NO_ENTRIES : this.#findPrefixHolders(set);
  }

  isEligible(entry: EngineEntry): boolean {
    return this.exclusion(entry) === null;
  }

  /** Why an engine of the set is not eligible for this request now, or null. */
  exclusion(entry: EngineEntry): ExclusionReason | null {
    const input = this.#input;
    if (input.context.now >= entry.grantedUntil) {
      return 'grant-expired';
    }
    if (input.version !== null && !this.#holdsVersion(entry, input.version)) {
      return 'other-version';
    }
    if (!this.lenient && input.excluded.has(entry.name)) {
      return 'excluded';
    }
    if (!this.lenient && this.#ejected.has(entry.name)) {
      return 'ejected';
    }
    return this.expectedActive(entry) >= inFlightLimit(entry) ? 'full' : null;
  }

  expectedActive(entry: EngineEntry): number {
    if (entry !== this.#lastEntry) {
      this.#lastEntry = entry;
      this.#lastRecord = this.#input.outstanding.get(entry.name);
      this.#lastActive = expectedActive(entry, this.#lastRecord, this.#estimates);
    }
    return this.#lastActive;
  }

  ownInFlight(entry: EngineEntry): number {
    return this.#input.outstanding.inFlight(entry.name);
  }

  expectedFinishMs(entry: EngineEntry): Milliseconds {
    const { target } = this.#input;
    const cost = { promptTokens: target.promptTokens, outputTokens: target.maxOutputTokens };
    const active = this.expectedActive(entry);
    const { now } = this.#estimates;
    return expectedFinishMs(entry, active, this.#lastRecord, now, cost, this.cachedTokens(entry));
  }

  /** Prompt tokens that are probably in the KV cache of an engine. */
  cachedTokens(entry: EngineEntry): number {
    for (const match of this.#matches) {
      if (match.backend === entry.name) {
        return Math.min(match.blocks * TOKENS_PER_BLOCK, this.#input.target.promptTokens);
      }
    }
    return 0;
  }

  #holdsVersion(entry: EngineEntry, version: string): boolean {
    const held = entry.heldVersions.get(this.#key);
    return held !== undefined && versionText(held) === version;
  }

  #findPrefixHolders(set: CandidateSet): EngineEntry[] {
    const holders: EngineEntry[] = [];
    for (const match of this.#matches) {
      const entry = this.#input.index.engine(match.backend);
      if (entry !== undefined && set.members.has(entry)) {
        holders.push(entry);
      }
    }
    return holders;
  }
}

function estimateInput(input: EngineChoiceInput): EstimateInput {
  const { outstanding, index, context } = input;
  const engines = Math.max(1, index.engineCount);
  return {
    now: context.now,
    meanActive: index.reportedActive / engines,
    meanOwnInFlight: outstanding.total / engines,
  };
}

function findEjectedCandidates(
  input: EngineChoiceInput,
  set: CandidateSet,
): ReadonlySet<BackendName> {
  if (!input.outliers.hasEjections) {
    return NO_EJECTIONS;
  }
  const isCandidate = (name: BackendName) => {
    const entry = input.index.engine(name);
    return entry !== undefined && set.members.has(entry);
  };
  return input.outliers.enforcedEjections(set.all.length, isCandidate, input.context.now);
}
