/** KV sources: engines with a cached prefix of a prompt, which another engine fetches instead of reading it. */
import type { EngineTraits } from './configuration.js';
import type { EngineChoiceInput } from './engine-choice-input.js';
import type { ServerRecord } from './server-directory.js';

/** Fewer tokens than this are not worth fetching from another engine. */
const MIN_FETCHED_TOKENS = 1_024;
const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT_MS = 1_000;

/** An engine with a cached prefix of the prompt that others can fetch. */
export interface KvSource {
  readonly server: ServerRecord;
  readonly cachedTokens: number;
}

/** The two engines with the longest cached prefix: the first serves all others, the second serves the first. */
export function bestKvSources(input: EngineChoiceInput): readonly KvSource[] {
  const { prefixIndex, description, nowMs } = input;
  let first: KvSource | undefined;
  let second: KvSource | undefined;
  for (const server of input.candidates) {
    const cachedTokens = prefixIndex.transferableTokens(server.id, description.promptParts, nowMs);
    if (cachedTokens < MIN_FETCHED_TOKENS || input.healthOf(server.id).isEjected(nowMs)) continue;
    if (first === undefined || cachedTokens > first.cachedTokens) {
      second = first;
      first = { server, cachedTokens };
    } else if (second === undefined || cachedTokens > second.cachedTokens) {
      second = { server, cachedTokens };
    }
  }
  return [first, second].filter((kvSource) => kvSource !== undefined);
}

/** Another engine whose cached prefix is longer by enough to be worth a transfer. */
export function kvSourceFor(
  server: ServerRecord,
  cachedTokens: number,
  sources: readonly KvSource[],
): KvSource | undefined {
  const kvSource = sources.find((candidate) => candidate.server.id !== server.id);
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
