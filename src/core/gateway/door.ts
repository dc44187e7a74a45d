/**
 * Whether a request is refused before it is sent anywhere: when the best engine is expected to answer only
 * after its caller has given up. Sent all the same, it would take a place in a queue until then, and others
 * would be turned away. What can be in time goes before it meanwhile, so the forecast is rather too short
 * than too long.
 */
import type { EnginePlan } from './choose-engine.js';

/** What the decision is made from. */
export interface DoorInput {
  readonly plan: Pick<EnginePlan, 'expectedMs' | 'read'>;
  /** Until the caller, or the route, gives up. */
  readonly remainingMs: number;
  /** Within this an answer is in time. */
  readonly inTimeMs: number;
  /** Whether the paces that the forecast is made from were seen, not supposed. */
  readonly isLearnt: boolean;
  /** Whether a server may have run it. */
  readonly mayHaveRun: boolean;
}

/** A request that is not sent at all. */
export interface DoorRefusal {
  /** When one like it could be answered in time, if nothing else came. */
  readonly retryAfterMs: number;
}

/** The refusal, or undefined where the request is to be sent. */
export function refusalAtDoor(input: DoorInput): DoorRefusal | undefined {
  const { plan, remainingMs, inTimeMs } = input;
  const isForecast = input.isLearnt && plan.read.urgency === 'late';
  if (!isForecast || input.mayHaveRun || plan.expectedMs <= remainingMs) return undefined;
  return { retryAfterMs: Math.max(0, plan.expectedMs - inTimeMs) };
}
