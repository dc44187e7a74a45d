/**
 * Rendezvous hashing: whoever lists the same candidates picks the same one for a key, and a candidate
 * that goes moves only the keys that it had.
 */
import { avalanche, EMPTY_HASH, hashText } from '../common/hash.js';

/** The candidate with the highest weight has the key. */
export function rendezvousWeight(key: string, candidate: string): number {
  return avalanche(hashText(hashText(EMPTY_HASH, key), candidate).low);
}

/** The candidates that have a key, the first before the others. */
export function rankByRendezvous(key: string, candidates: readonly string[]): readonly string[] {
  const weighted = candidates.map((name) => ({ name, weight: rendezvousWeight(key, name) }));
  return weighted.sort((left, right) => right.weight - left.weight).map(({ name }) => name);
}
