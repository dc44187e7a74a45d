/**
 * Rendezvous hashing: all daemons with the same candidates pick the same one for a key, and the removal of a
 * candidate reassigns only the keys that it had.
 */
import { avalanche, EMPTY_HASH, hashText } from '../common/hash.js';

/** Returns the function that weighs candidates for `key`; the one with the highest weight has the key. */
export function rendezvousWeights(key: string): (candidate: string) => number {
  const hashOfKey = hashText(EMPTY_HASH, key);
  return (candidate) => avalanche(hashText(hashOfKey, candidate).low);
}

/** The candidates by descending weight for a key. */
export function rankByRendezvous(key: string, candidates: readonly string[]): readonly string[] {
  const weightOf = rendezvousWeights(key);
  const weighted = candidates.map((name) => ({ name, weight: weightOf(name) }));
  return weighted.sort((left, right) => right.weight - left.weight).map(({ name }) => name);
}
