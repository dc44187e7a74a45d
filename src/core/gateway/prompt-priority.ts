/**
 * The priority of a prompt at an engine. Prompts that can be in time go first: those that are read in no
 * time at all before the others, which they hardly delay, then by the route's rank. What will be late in
 * any case goes after all of them, so that it makes nothing else late.
 */
import type { Urgency } from './engine-load.js';

const LEAST_URGENT = 9;
const FIRST_IN_TIME = 1;
const LAST_IN_TIME = 4;
const FIRST_LATE = 5;
/** A read that takes up at most this part of the target hardly delays others. */
const SMALL_SHARE = 0.1;

/** What a priority is made from. */
export interface PromptPriorityInput {
  /** The route's priority, 0 the most urgent. */
  readonly rank: number;
  readonly urgency: Urgency;
  /** The read itself, against the target latency. */
  readonly readShareOfTarget: number;
}

/** 0 is the most urgent. */
export function promptPriority({ rank, urgency, readShareOfTarget }: PromptPriorityInput): number {
  switch (urgency) {
    case 'late':
      return Math.min(LEAST_URGENT, FIRST_LATE + rank);
    case 'in-time':
      if (readShareOfTarget <= SMALL_SHARE) return 0;
      return Math.min(LAST_IN_TIME, FIRST_IN_TIME + rank);
  }
}
