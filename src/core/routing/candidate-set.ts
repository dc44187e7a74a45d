/**
 * The engines that may take requests for one model or adapter, also grouped by zone. Rebuilt when
 * the versions that an engine holds, its availability or the configuration change, not for each
 * request.
 */
import type { ZoneName } from '../common/identifiers.js';
import type { EngineRole } from '../registry/backend.js';
import { type EngineEntry, type HeldVersion, sameVersion } from './engine-entry.js';

/** The candidate engines for one target. Rebuilt in place. */
export interface CandidateSet {
  readonly key: string;
  /** Engines that hold the target in any version, available or not. */
  readonly holders: Set<EngineEntry>;
  /** Available engines that hold a served version and whose role accepts completions. */
  all: readonly EngineEntry[];
  /** Available engines that hold a served version and whose role is `prefill`. */
  prefill: readonly EngineEntry[];
  /** The engines of `all`, for membership checks. */
  members: ReadonlySet<EngineEntry>;
  /** The engines of `all`, by zone. */
  byZone: ReadonlyMap<ZoneName, readonly EngineEntry[]>;
  /**
   * True when only the configured version is served; false during a rollout, see `isAtLeastHalf`.
   */
  servesWantedOnly: boolean;
  dirty: boolean;
  /** Incremented at each rebuild. */
  generation: number;
}

/** An empty list of engines. */
export const NO_ENTRIES: readonly EngineEntry[] = [];

/** Creates an empty set that is built at first use. */
export function createCandidateSet(key: string): CandidateSet {
  return {
    key,
    holders: new Set(),
    all: NO_ENTRIES,
    prefill: NO_ENTRIES,
    members: new Set(),
    byZone: new Map(),
    servesWantedOnly: true,
    dirty: true,
    generation: 0,
  };
}

/** Rebuilds a set from its holders and the configured version. */
export function rebuildCandidateSet(set: CandidateSet, wanted: HeldVersion | null): void {
  const available = [...set.holders].filter((entry) => entry.unavailable === null);
  const current = available.filter((entry) => holdsWantedVersion(entry, set.key, wanted));
  set.servesWantedOnly = isAtLeastHalf(current.length, available.length);
  const served = set.servesWantedOnly ? current : available;
  set.all = served.filter((entry) => takesCompletions(entry.role));
  set.members = new Set(set.all);
  set.byZone = groupByZone(set.all);
  set.prefill = served.filter((entry) => entry.role === 'prefill');
  set.dirty = false;
  set.generation += 1;
}

/**
 * During a rollout, engines that still hold the old version go on serving until at least half of
 * the available holders have the configured version. Otherwise the first engine with the new
 * version would receive the entire load.
 */
function isAtLeastHalf(count: number, total: number): boolean {
  return count > 0 && count * 2 >= total;
}

/**
 * Whether an engine with a role accepts completions. `mixed` does; so does `decode`, which prefills
 * the prompt itself, slowly, when the request has no KV handle; `prefill` refuses them
 * (docs/ENGINE-API.md).
 */
function takesCompletions(role: EngineRole): boolean {
  return role !== 'prefill';
}

function holdsWantedVersion(entry: EngineEntry, key: string, wanted: HeldVersion | null): boolean {
  const held = entry.heldVersions.get(key);
  return held !== undefined && wanted !== null && sameVersion(held, wanted);
}

function groupByZone(entries: readonly EngineEntry[]): Map<ZoneName, EngineEntry[]> {
  const groups = new Map<ZoneName, EngineEntry[]>();
  for (const entry of entries) {
    const group = groups.get(entry.machine.zone);
    if (group === undefined) {
      groups.set(entry.machine.zone, [entry]);
    } else {
      group.push(entry);
    }
  }
  return groups;
}
