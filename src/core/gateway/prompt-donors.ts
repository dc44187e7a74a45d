/** Engines that keep the beginning of a prompt, from which another takes it in place of reading it. */
import type { EngineTraits } from './configuration.js';
import type { EngineChoiceInput } from './engine-choice-input.js';
import type { ServerRecord } from './server-directory.js';

/** Fewer missing tokens than this are not worth fetching from another engine. */
const LEAST_FETCHED_TOKENS = 1_024;
const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT_MS = 1_000;

/** An engine that keeps tokens of the prompt which others can take. */
export interface Donor {
  readonly server: ServerRecord;
  readonly keptTokens: number;
}

/** The two engines that keep most of the prompt: one for all others, and one for the first of them. */
export function bestDonors(input: EngineChoiceInput): readonly Donor[] {
  const { knowledge, description, nowMs } = input;
  let first: Donor | undefined;
  let second: Donor | undefined;
  for (const server of input.candidates) {
    const keptTokens = knowledge.movableTokens(server.id, description.promptParts, nowMs);
    if (keptTokens < LEAST_FETCHED_TOKENS || input.healthOf(server.id).isEjected(nowMs)) continue;
    if (first === undefined || keptTokens > first.keptTokens) {
      second = first;
      first = { server, keptTokens };
    } else if (second === undefined || keptTokens > second.keptTokens) {
      second = { server, keptTokens };
    }
  }
  return [first, second].filter((donor) => donor !== undefined);
}

/** Another engine that keeps enough more of the prompt to be worth a move. */
export function donorFor(
  server: ServerRecord,
  keptTokens: number,
  donors: readonly Donor[],
): Donor | undefined {
  const donor = donors.find((candidate) => candidate.server.id !== server.id);
  if (donor === undefined || donor.keptTokens - keptTokens < LEAST_FETCHED_TOKENS) return undefined;
  return donor;
}

/** How long the memory of so many tokens takes on an engine's link. */
export function moveMs(
  tokens: number,
  link: Pick<EngineTraits, 'kvTokenBytes' | 'linkMbps'>,
): number {
  const bits = tokens * link.kvTokenBytes * BITS_PER_BYTE;
  return bits / (link.linkMbps * BITS_PER_MEGABIT_MS);
}
