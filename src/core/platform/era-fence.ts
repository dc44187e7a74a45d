/**
 * Fencing tokens across eras of the store. The record of the last tokens may be lost with what an older copy lacks, so
 * nobody can count on from there: each era has tokens of its own, above those of all eras before.
 */

/** More holders than this do not follow each other within an era. */
const FENCES_OF_ERA = 1_000_000;

/** Whether a token was given out in an era, not before it. */
export function isFenceOf(era: number, fence: number): boolean {
  return fence > era * FENCES_OF_ERA;
}

/** The token after another one, in an era. */
export function nextFence(era: number, fence: number): number {
  return Math.max(fence, era * FENCES_OF_ERA) + 1;
}
