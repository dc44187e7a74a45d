/**
 * Decides whether a request is sent to a server now, held at the daemon until a queue is short enough, or refused
 * before it is sent. A request that can meet its latency target is sent, or held while the queues are too long for it
 * or for more urgent requests. A request that is late because of the queues is refused at once: it would take engine
 * time from others, while a retry by its caller may be in time.
 */
import type { EnginePlan } from './choose-engine.js';

/**
 * Share of a request's slack (the time that it can wait and still be in time) that it may spend in a server's queue,
 * where it can no longer be reordered or refused. Under overload queues grow to this limit, and daemons learn of each
 * other's work with a delay: if queues took up the complete slack, about every other request would be late.
 */
const MAX_QUEUE_SHARE = 0.3;
/**
 * Share of a request's slack for which it may be held at the daemon. It is small because an early refusal is worth more
 * to the caller than a late one. The rest of the slack covers forecast errors.
 */
export const MAX_HOLD_SHARE = 0.25;

/** Input to `refusalOnArrival`. */
export interface ArrivalInput {
  readonly plan: Pick<EnginePlan, 'expectedMs' | 'read'>;
  /** Time until the caller's deadline or the route's timeout. */
  readonly remainingMs: number;
  /** Time from arrival within which an answer counts as in time. */
  readonly latencyBudgetMs: number;
  /** Whether the forecast is based on observed engine times, not on the initial estimate. */
  readonly isLearnt: boolean;
  /** Whether a server may already have run the request. */
  readonly mayHaveRun: boolean;
}

/** Input to `placeRequest`. */
export interface PlaceInput extends ArrivalInput {
  /** What is left of `latencyBudgetMs`. */
  readonly latencyBudgetLeftMs: number;
  /** Shortest slack of the more urgent ranks (`UrgentSlack`); infinite if there are none. */
  readonly urgentSlackMs: number;
  /** Whether other requests for the same servers are held at this daemon. */
  readonly isContended: boolean;
}

/** Refusal of a request that has not been sent. */
export interface ArrivalRefusal {
  /** Time after which a similar request could be answered in time if no others arrived. */
  readonly retryAfterMs: number;
}

/** The decision for a request. */
export type Placement =
  /** Send now. `slackMs` is how long it may still be held behind others; undefined if it must not be held. */
  | { readonly kind: 'go'; readonly slackMs: number | undefined }
  /** Hold for at most `slackMs`; a queue is expected to be short enough in `roomInMs`. */
  | { readonly kind: 'wait'; readonly slackMs: number; readonly roomInMs: number }
  | {
      readonly kind: 'refuse';
      /** `hopeless`: it would end after the caller's deadline; `overloaded`: it would make others late. */
      readonly reason: 'hopeless' | 'overloaded';
      readonly roomInMs: number;
    };

/** Decides on a request by its best plan at the moment. */
export function placeRequest(input: PlaceInput): Placement {
  const { plan, latencyBudgetLeftMs, urgentSlackMs } = input;
  if (!input.isLearnt || input.mayHaveRun) return { kind: 'go', slackMs: undefined };
  const { urgency, waitMs } = plan.read;
  const totalSlackMs = input.latencyBudgetMs - (plan.expectedMs - waitMs);
  const heldMs = input.latencyBudgetMs - latencyBudgetLeftMs;
  const heldShare = Math.min(MAX_HOLD_SHARE, heldMs / Math.max(1, totalSlackMs));
  // Approximates first come, first served over all daemons: the longer a request was held, the longer a queue
  // it may join.
  const maxQueueMs = (MAX_QUEUE_SHARE + heldShare) * Math.min(urgentSlackMs, totalSlackMs);
  const slackMs = MAX_HOLD_SHARE * totalSlackMs - heldMs;
  switch (urgency) {
    case 'in-time':
      // A request that can't be held any longer overtakes those that can.
      if (waitMs <= maxQueueMs) return { kind: 'go', slackMs: slackMs > 0 ? slackMs : undefined };
      return { kind: 'wait', slackMs, roomInMs: waitMs - maxQueueMs };
    case 'late':
      return placeLate(input, maxQueueMs);
  }
}

function placeLate(input: PlaceInput, maxQueueMs: number): Placement {
  const { plan, latencyBudgetMs, isContended } = input;
  const roomInMs = Math.max(0, plan.expectedMs - latencyBudgetMs);
  const hopeless = refusalOnArrival(input);
  if (hopeless !== undefined) return { kind: 'refuse', reason: 'hopeless', roomInMs };
  // Late by its own duration or by earlier attempts, not because of queues: sent where it delays no other.
  const allowedQueueMs =
    maxQueueMs > 0 ? maxQueueMs : MAX_QUEUE_SHARE * Math.min(input.urgentSlackMs, latencyBudgetMs);
  const hasShortQueue = plan.read.waitMs <= allowedQueueMs;
  if (hasShortQueue && !isContended) return { kind: 'go', slackMs: undefined };
  return { kind: 'refuse', reason: 'overloaded', roomInMs };
}

/** Refuses a request that would end after its caller's deadline; undefined if the request should be sent. */
export function refusalOnArrival(input: ArrivalInput): ArrivalRefusal | undefined {
  const { plan, remainingMs, latencyBudgetMs } = input;
  const isForecast = input.isLearnt && plan.read.urgency === 'late';
  if (!isForecast || input.mayHaveRun || plan.expectedMs <= remainingMs) return undefined;
  return { retryAfterMs: Math.max(0, plan.expectedMs - latencyBudgetMs) };
}
