/**
 * Whether a request goes to a server now, waits at the daemon for room, or is refused before it is sent
 * anywhere. What can be in time goes, or waits while the servers hold what is more urgent. What cannot is
 * refused at once where it is late for want of room: sent all the same, it would take time from others, and
 * its caller may be in time with another try.
 */
import type { EnginePlan } from './choose-engine.js';

/**
 * Of the time that a request can wait and be in time, this part at most is spent in a server's queue, where it
 * can't be ordered or refused any more. Under overload queues are as long as they may be, and each daemon knows
 * of the others' work late: a queue that took up all of it would make every other request late.
 */
const QUEUED_SHARE = 0.3;
/**
 * Of the same time, the part that it may be held at the daemon: a refusal is worth the more to its caller the sooner it
 * comes. What both shares leave is for errors of the forecast.
 */
export const MAX_HOLD_SHARE = 0.25;

/** What a forecast is judged by. */
export interface ArrivalInput {
  readonly plan: Pick<EnginePlan, 'expectedMs' | 'read'>;
  /** Until the caller, or the route, gives up. */
  readonly remainingMs: number;
  /** Within this an answer is in time. */
  readonly latencyBudgetMs: number;
  /** Whether the paces that the forecast is made from were seen, not supposed. */
  readonly isLearnt: boolean;
  /** Whether a server may have run it. */
  readonly mayHaveRun: boolean;
}

/** What a place is decided from. */
export interface PlaceInput extends ArrivalInput {
  /** What is left of the time in which an answer is in time. */
  readonly latencyBudgetLeftMs: number;
  /** The least that a more urgent kind of request could wait and be in time; infinite where there is none. */
  readonly urgentSlackMs: number;
  /** Whether others wait at this daemon for the same servers. */
  readonly isContended: boolean;
}

/** A request that is not sent at all. */
export interface ArrivalRefusal {
  /** When one like it could be answered in time, if nothing else came. */
  readonly retryAfterMs: number;
}

/** What becomes of a request. */
export type Placement =
  /** There is room; `slackMs` is how long it could wait and be in time, undefined where it waits for nobody. */
  | { readonly kind: 'go'; readonly slackMs: number | undefined }
  /** Room is expected in time. */
  | { readonly kind: 'wait'; readonly slackMs: number; readonly roomInMs: number }
  | {
      readonly kind: 'refuse';
      /** `hopeless`: it would end after its caller has left; `overloaded`: it would make others late. */
      readonly reason: 'hopeless' | 'overloaded';
      readonly roomInMs: number;
    };

/** The place of a request, by the best plan there is for it now. */
export function placeRequest(input: PlaceInput): Placement {
  const { plan, latencyBudgetLeftMs, urgentSlackMs } = input;
  if (!input.isLearnt || input.mayHaveRun) return { kind: 'go', slackMs: undefined };
  const { urgency, waitMs } = plan.read;
  const wholeSlackMs = input.latencyBudgetMs - (plan.expectedMs - waitMs);
  const heldMs = input.latencyBudgetMs - latencyBudgetLeftMs;
  const heldShare = Math.min(MAX_HOLD_SHARE, heldMs / Math.max(1, wholeSlackMs));
  // Who came first goes first over all daemons: the longer it was held, the longer a queue it may join.
  const mostMs = (QUEUED_SHARE + heldShare) * Math.min(urgentSlackMs, wholeSlackMs);
  const slackMs = MAX_HOLD_SHARE * wholeSlackMs - heldMs;
  switch (urgency) {
    case 'in-time':
      // What can't be held any more and has room goes past those that can.
      if (waitMs <= mostMs) return { kind: 'go', slackMs: slackMs > 0 ? slackMs : undefined };
      return { kind: 'wait', slackMs, roomInMs: waitMs - mostMs };
    case 'late':
      return placeLate(input, mostMs);
  }
}

function placeLate(input: PlaceInput, mostMs: number): Placement {
  const { plan, latencyBudgetMs, isContended } = input;
  const roomInMs = Math.max(0, plan.expectedMs - latencyBudgetMs);
  const hopeless = refusalOnArrival(input);
  if (hopeless !== undefined) return { kind: 'refuse', reason: 'hopeless', roomInMs };
  // Late by itself, or as it was tried before, and not for want of room: it runs where it delays nobody.
  const joinsMs =
    mostMs > 0 ? mostMs : QUEUED_SHARE * Math.min(input.urgentSlackMs, latencyBudgetMs);
  const hasRoom = plan.read.waitMs <= joinsMs;
  if (hasRoom && !isContended) return { kind: 'go', slackMs: undefined };
  return { kind: 'refuse', reason: 'overloaded', roomInMs };
}

/** The refusal of what ends only after its caller has left; undefined where the request is to be sent. */
export function refusalOnArrival(input: ArrivalInput): ArrivalRefusal | undefined {
  const { plan, remainingMs, latencyBudgetMs } = input;
  const isForecast = input.isLearnt && plan.read.urgency === 'late';
  if (!isForecast || input.mayHaveRun || plan.expectedMs <= remainingMs) return undefined;
  return { retryAfterMs: Math.max(0, plan.expectedMs - latencyBudgetMs) };
}
