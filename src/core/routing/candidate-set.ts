/**
 * The engines that may take requests for one model or adapter, split into the asking daemon's own
 * zone and the rest. Rebuilt only when an engine's holdings or availability change, not by request.
 */
import type { ZoneName } from '../common/identifiers.js';
import type { EngineRole } from '../registry/backend.js';
import { type EngineEntry, type HeldVersion, sameVersion } from './engine-entry.js';

/** The candidates for one target. Rebuilt in place. */
export interface CandidateSet {
  readonly key: string;
  /** Engines that hold the target in any version, available or not. */
  readonly holders: Set<EngineEntry>;
  /** Available engines of the served versions whose role takes completions. */
  all: readonly EngineEntry[];
  /** Available engines of the served versions that only read prompts. */
  prefill: readonly EngineEntry[];
  /** Those of `all`, for look-ups. */
  members: ReadonlySet<EngineEntry>;
  /** Those of `all` by zone. */
  byZone: ReadonlyMap<ZoneName, readonly EngineEntry[]>;
  /** Versions served: all of those held while a roll is under way, else the wanted one. */
  servesWantedOnly: boolean;
  dirty: boolean;
  /** Grows with each rebuild. */
  generation: number;
}

/** No engines. */
export const NO_ENTRIES: readonly EngineEntry[] = [];

/** Creates an empty set that is built at its first use. */
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

/** Rebuilds a set from its holders and the version that the configuration wants. */
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
 * While a version is rolled out, engines that still hold the old one go on serving until at least
 * half of the available holders have the wanted one: the first rolled engine alone must not take
 * the whole load.
 */
function isAtLeastHalf(count: number, total: number): boolean {
  return count > 0 && count * 2 >= total;
}

/**
 * Whether an engine in a role answers completions. `mixed` does; so does `decode`, which reads a
 * prompt itself, slowly, where no KV handle comes with it; `prefill` refuses them (docs/ENGINE-API.md).
 */
function takesCompletions(role: EngineRole): boolean {
  return role !== 'prefill';
}

function holdsWantedVersion(entry: EngineEntry, key: string, wanted: HeldVersion | null): boolean {
  const held = entry.holdings.get(key);
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
