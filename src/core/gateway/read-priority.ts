/**
 * The priority of a prompt at an engine: the route's rank decides, and within a rank a prompt that is
 * soon read goes before one that takes long, so that one long prompt does not make many late.
 */

const LEAST_URGENT = 9;
/** Steps of priority that a rank is spread over. */
const STEPS_OF_RANK = 3;
/** Shares of the target latency that part the steps. */
const SOON_SHARE = 0.35;
const IN_TIME_SHARE = 0.9;

/**
 * @param rank the route's priority, 0 the most urgent
 * @param shareOfTarget the expected time against the target latency
 */
export function readPriority(rank: number, shareOfTarget: number): number {
  return Math.min(LEAST_URGENT, rank * STEPS_OF_RANK + stepOf(shareOfTarget));
}

function stepOf(shareOfTarget: number): number {
  if (shareOfTarget <= SOON_SHARE) return 0;
  return shareOfTarget <= IN_TIME_SHARE ? 1 : 2;
}
