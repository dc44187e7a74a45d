/**
 * Fencing tokens across eras of the store. When the store is restored from an older copy, the record of the newest
 * tokens may be lost, so the next token can't be derived from it. Therefore each era has its own range of tokens, above
 * the ranges of all earlier eras.
 */

/** The size of an era's range: the maximum number of changes of the holder within an era. */
const FENCES_PER_ERA = 1_000_000;

/** Whether a token was issued in the given era and not before. */
export function isFenceOf(era: number, fence: number): boolean {
  return fence > era * FENCES_PER_ERA;
}

/** The next token after the given one, within an era. */
export function nextFence(era: number, fence: number): number {
  return Math.max(fence, era * FENCES_PER_ERA) + 1;
}
