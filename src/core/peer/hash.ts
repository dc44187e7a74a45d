/** Hashes for distributing duties and comparing tables. They are equal on every daemon. */
import { avalanche, EMPTY_HASH, hashText, hashToHexadecimal } from '../common/hash.js';

/** A 32-bit hash of a text. */
export function hash32(text: string): number {
  const hash = hashText(EMPTY_HASH, text);
  return avalanche(hash.high ^ avalanche(hash.low));
}

/** A 64-bit hash of a text in hexadecimal. */
export function contentHash(text: string): string {
  return hashToHexadecimal(hashText(EMPTY_HASH, text));
}
