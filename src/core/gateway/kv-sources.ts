/** Engines that keep the beginning of a prompt, from which another takes it in place of reading it. */
import type { EngineTraits } from './configuration.js';
import type { EngineChoiceInput } from './engine-choice-input.js';
import type { ServerRecord } from './server-directory.js';

/** Fewer missing tokens than this are not worth fetching from another engine. */
const LEAST_FETCHED_TOKENS = 1_024;
const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT_MS = 1_000;

/** An engine that keeps tokens of the prompt which others can take. */
export interface KvSource {
  readonly server: ServerRecord;
  readonly cachedTokens: number;
}

/** The two engines that keep most of the prompt: one for all others, and one for the first of them. */
export function bestKvSources(input: EngineChoiceInput): readonly KvSource[] {
  const { prefixIndex, description, nowMs } = input;
  let first: KvSource | undefined;
  let second: KvSource | undefined;
  for (const server of input.candidates) {
    const cachedTokens = prefixIndex.transferableTokens(server.id, description.promptParts, nowMs);
    if (cachedTokens < LEAST_FETCHED_TOKENS || input.healthOf(server.id).isEjected(nowMs)) continue;
    if (first === undefined || cachedTokens > first.cachedTokens) {
      second = first;
      first = { server, cachedTokens };
    } else if (second === undefined || cachedTokens > second.cachedTokens) {
      second = { server, cachedTokens };
    }
  }
  return [first, second].filter((donor) => donor !== undefined);
}

/** Another engine that keeps enough more of the prompt to be worth a move. */
export function kvSourceFor(
  server: ServerRecord,
  cachedTokens: number,
  donors: readonly KvSource[],
): KvSource | undefined {
  const donor = donors.find((candidate) => candidate.server.id !== server.id);
  if (donor === undefined || donor.cachedTokens - cachedTokens < LEAST_FETCHED_TOKENS)
    return undefined;
  return donor;
}

/** How long the memory of so many tokens takes on an engine's link. */
export function kvTransferMs(
  tokens: number,
  link: Pick<EngineTraits, 'kvTokenBytes' | 'linkMbps'>,
): number {
  const bits = tokens * link.kvTokenBytes * BITS_PER_BYTE;
  return bits / (link.linkMbps * BITS_PER_MEGABIT_MS);
}
