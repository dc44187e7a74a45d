/**
 * The priority of a prompt in an engine's queue. Prompts that can meet their latency target go first: those with a
 * very short read before the others, which they hardly delay, then by the route's rank. Prompts that will be late in
 * any case go after all of them, so that they make no other prompt late.
 */
import type { Urgency } from './engine-load.js';

const LOWEST_PRIORITY = 9;
const IN_TIME_BASE = 1;
const IN_TIME_LAST = 4;
const LATE_BASE = 5;
/** A read that takes at most this share of the target latency hardly delays others. */
const SMALL_READ_SHARE = 0.1;

/** Input to `promptPriority`. */
export interface PromptPriorityInput {
  /** The route's priority; 0 is the most urgent. */
  readonly rank: number;
  readonly urgency: Urgency;
  /** Duration of the read as a share of the target latency. */
  readonly readShareOfTarget: number;
}

/** The priority to send with the prompt; 0 is the most urgent. */
export function promptPriority({ rank, urgency, readShareOfTarget }: PromptPriorityInput): number {
  switch (urgency) {
    case 'late':
      return Math.min(LOWEST_PRIORITY, LATE_BASE + rank);
    case 'in-time':
      if (readShareOfTarget <= SMALL_READ_SHARE) return 0;
      return Math.min(IN_TIME_LAST, IN_TIME_BASE + rank);
  }
}
