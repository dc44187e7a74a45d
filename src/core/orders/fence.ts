/** Comparison of fences: by epoch, then by sequence. */
import type { Fence } from '../registry/backend.js';

/** Negative when `left` is lower, positive when it is higher, zero when equal. */
export function compareFences(left: Fence, right: Fence): number {
  if (left.epoch !== right.epoch) return left.epoch - right.epoch;
  return left.sequence - right.sequence;
}

/** Whether an engine that has seen `highest` must refuse another order with `fence` as stale. */
export function isStale(fence: Fence, highest: Fence | null): boolean {
  return highest !== null && compareFences(fence, highest) <= 0;
}
