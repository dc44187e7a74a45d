/**
 * Rendezvous hashing: whoever lists the same candidates picks the same one for a key, and a candidate
 * that goes moves only the keys that it had.
 */
import { avalanche, EMPTY_HASH, hashText } from '../common/hash.js';

/** Gives each candidate's weight for a key; the one with the highest has it. */
export function rendezvousWeights(key: string): (candidate: string) => number {
  const hashOfKey = hashText(EMPTY_HASH, key);
  return (candidate) => avalanche(hashText(hashOfKey, candidate).low);
}

/** The candidates that have a key, the first before the others. */
export function rankByRendezvous(key: string, candidates: readonly string[]): readonly string[] {
  const weightOf = rendezvousWeights(key);
  const weighted = candidates.map((name) => ({ name, weight: weightOf(name) }));
  return weighted.sort((left, right) => right.weight - left.weight).map(({ name }) => name);
}
