/** KV sources: engines with a cached prefix of a prompt, which another engine fetches instead of reading it. */
import type { EngineTraits } from './configuration.js';
import type { EngineChoiceInput } from './engine-choice-input.js';
import type { ServerRecord } from './server-directory.js';
import { isCompatible, softwareVersionOf } from './stream-origin.js';

/** Fewer tokens than this are not worth fetching from another engine. */
const MIN_FETCHED_TOKENS = 1_024;
const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT_MS = 1_000;

/** An engine with a cached prefix of the prompt that others can fetch. */
export interface KvSource {
  readonly server: ServerRecord;
  readonly cachedTokens: number;
}

/**
 * The two engines of each software version with the longest cached prefix: the first serves all others of its version,
 * the second serves the first.
 */
export function bestKvSources(input: EngineChoiceInput): readonly KvSource[] {
  const { prefixIndex, description, nowMs } = input;
  const bestOfVersion = new Map<string, readonly KvSource[]>();
  for (const server of input.candidates) {
    const cachedTokens = prefixIndex.transferableTokens(server.id, description.promptParts, nowMs);
    if (cachedTokens < MIN_FETCHED_TOKENS || input.healthOf(server.id).isEjected(nowMs)) continue;
    const version = softwareVersionOf(server);
    const best = bestOfVersion.get(version) ?? [];
    bestOfVersion.set(version, bestTwo(best, { server, cachedTokens }));
  }
  return [...bestOfVersion.values()].flat();
}

/** @param best at most two, the longest first; an earlier one of equal length stays before a later one */
function bestTwo(best: readonly KvSource[], added: KvSource): readonly KvSource[] {
  const [first, second] = best;
  if (first === undefined) return [added];
  if (added.cachedTokens > first.cachedTokens) return [added, first];
  if (second === undefined || added.cachedTokens > second.cachedTokens) return [first, added];
  return best;
}

/** Another engine whose cached prefix is compatible, and longer by enough to be worth a transfer. */
export function kvSourceFor(
  server: ServerRecord,
  cachedTokens: number,
  sources: readonly KvSource[],
): KvSource | undefined {
  const kvSource = sources.find(
    (candidate) => candidate.server.id !== server.id && isCompatible(candidate.server, server),
  );
  if (kvSource === undefined || kvSource.cachedTokens - cachedTokens < MIN_FETCHED_TOKENS)
    return undefined;
  return kvSource;
}

/** How long the KV cache of a number of tokens takes to transfer on an engine's link. */
export function kvTransferMs(
  tokens: number,
  link: Pick<EngineTraits, 'kvTokenBytes' | 'linkMbps'>,
): number {
  const bits = tokens * link.kvTokenBytes * BITS_PER_BYTE;
  return bits / (link.linkMbps * BITS_PER_MEGABIT_MS);
}
