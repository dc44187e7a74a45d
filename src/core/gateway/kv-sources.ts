/** KV sources: engines with a cached prefix of a prompt, which another engine fetches instead of reading it. */
import type { EngineTraits } from './configuration.js';
import type { EngineChoiceInput } from './engine-choice-input.js';
import type { ServerRecord } from './server-directory.js';
import { isCompatible, softwareVersionOf, softwareVersionsOf } from './stream-origin.js';

/** Fewer tokens than this are not worth fetching from another engine. */
const MIN_FETCHED_TOKENS = 1_024;
const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT_MS = 1_000;

/** An engine with a cached prefix of the prompt that others can fetch. */
export interface KvSource {
  readonly server: ServerRecord;
  readonly cachedTokens: number;
}

/** For each software version of the candidates, the two engines with the longest cached prefix. */
export function bestKvSources(input: EngineChoiceInput): readonly KvSource[] {
  const versions = softwareVersionsOf(input.candidates);
  if (versions.size <= 1) return bestTwoOf(input.candidates, input);
  return [...versions].flatMap((version) => {
    const ofVersion = input.candidates.filter((server) => softwareVersionOf(server) === version);
    return bestTwoOf(ofVersion, input);
  });
}

/** The two engines with the longest cached prefix: the first serves all others, the second serves the first. */
function bestTwoOf(
  engines: readonly ServerRecord[],
  { prefixIndex, description, nowMs, healthOf }: EngineChoiceInput,
): readonly KvSource[] {
  let first: KvSource | undefined;
  let second: KvSource | undefined;
  for (const server of engines) {
    const cachedTokens = prefixIndex.transferableTokens(server.id, description.promptParts, nowMs);
    if (cachedTokens < MIN_FETCHED_TOKENS || healthOf(server.id).isEjected(nowMs)) continue;
    if (first === undefined || cachedTokens > first.cachedTokens) {
      second = first;
      first = { server, cachedTokens };
    } else if (second === undefined || cachedTokens > second.cachedTokens) {
      second = { server, cachedTokens };
    }
  }
  return [first, second].filter((kvSource) => kvSource !== undefined);
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
