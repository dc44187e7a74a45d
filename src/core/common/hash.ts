/**
 * A fast 64-bit text hash in plain integer arithmetic, for emulated output and content and for digests of views. Not
 * cryptographic: do not use it for keys, digests of secrets, or anything that an attacker could exploit by collisions.
 */

/** A 64-bit hash as two unsigned 32-bit lanes. */
export interface Hash64 {
  readonly high: number;
  readonly low: number;
}

/** The hash of the empty text. */
export const EMPTY_HASH: Hash64 = { high: 0x9e3779b9, low: 0x85ebca6b };

// The prime of FNV-1a and a second odd constant, so that the two lanes differ.
const LOW_LANE_PRIME = 0x01000193;
const HIGH_LANE_PRIME = 0x5bd1e995;

/** Continues a hash over the UTF-16 code units of `text` from `start` up to `end`. */
export function hashText(
  seed: Hash64,
  text: string,
  start: number = 0,
  end: number = text.length,
): Hash64 {
  let { high, low } = seed;
  for (let index = start; index < end; index += 1) {
    const unit = text.charCodeAt(index);
    low = Math.imul(low ^ unit, LOW_LANE_PRIME);
    high = Math.imul(high ^ unit ^ (low >>> 15), HIGH_LANE_PRIME);
  }
  return { high: high >>> 0, low: low >>> 0 };
}

/** Spreads the bits of a 32-bit number over all of its places (the finalizer of MurmurHash3). */
export function avalanche(value: number): number {
  let mixed = value ^ (value >>> 16);
  mixed = Math.imul(mixed, 0x85ebca6b);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** A hash as 16 lower-case hexadecimal digits. */
export function hashToHexadecimal(hash: Hash64): string {
  const high = avalanche(hash.high ^ hash.low);
  const low = avalanche(hash.low);
  return high.toString(16).padStart(8, '0') + low.toString(16).padStart(8, '0');
}
