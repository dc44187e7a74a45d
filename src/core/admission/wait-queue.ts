/**
 * The requests that wait at a gateway for capacity at servers, on top of the scheduler that all requests share.
 * Requests are dispatched in strict order of the operator's ranks; within a rank, requests that can still meet their
 * deadline go before those that cannot; then tenants share fairly; then arrival decides. Each request has a latest
 * start, after which it can no longer meet its deadline.
 */
import type { RequestId, TenantName } from '../common/identifiers.js';
import type { Milliseconds, MonotonicMs } from '../common/time.js';
import type { Admissible, AdmissionRules, ClassRules } from './admission-rules.js';
import {
  type AdmissionDecision,
  type AdmissionLimits,
  AdmissionScheduler,
  type ExpiredRequest,
  type OfferContext,
} from './admission-scheduler.js';

/** A request offered to the queue, in the form that the scheduler needs. */
export interface WaitQueueRequest extends Admissible {
  /** Requests of one lane wait for the same capacity and have similar costs. */
  readonly lane: string;
  /** The server time that the request is expected to need. */
  readonly costMs: Milliseconds;
}

/** What decides the position of a request in the queue. */
export interface WaitQueueEntry {
  readonly id: RequestId;
  readonly lane: string;
  readonly tenant: TenantName;
  /** The operator's rank, 0 the most urgent. */
  readonly rank: number;
  readonly canMeetDeadline: boolean;
  readonly costMs: Milliseconds;
  readonly arrivedAtMs: MonotonicMs;
  readonly latestStartMs: MonotonicMs;
}

/** Each rank has one class for requests that can meet their deadline and one for those that cannot. */
const CLASSES_PER_RANK = 2;
/** The minimum cost of a request, as the scheduler needs costs above 0. */
const MIN_COST_MS: Milliseconds = 1;
/** The gateway's configuration gives tenants no weights. */
const EQUAL_WEIGHT = 1;

const QUEUE_RULES: AdmissionRules<WaitQueueRequest> = {
  minClassShare: 0,
  laneOf: ({ lane }) => lane,
  costOf: ({ costMs }) => Math.max(MIN_COST_MS, costMs),
  classOf: (name): ClassRules => ({ priority: Number(name), share: 1 }),
  weightOf: () => EQUAL_WEIGHT,
};

/** The queue of waiting requests. Updated in place by its owner; it reads no clock. */
export class WaitQueue {
  readonly #scheduler: AdmissionScheduler<WaitQueueRequest>;
  readonly #waitingByLane = new Map<string, number>();

  constructor(limits: Partial<AdmissionLimits> = {}) {
    this.#scheduler = new AdmissionScheduler(QUEUE_RULES, limits);
  }

  /** The number of waiting requests. */
  get waiting(): number {
    return this.#scheduler.waiting;
  }

  /** The number of waiting requests of a lane. */
  waitingInLane(lane: string): number {
    return this.#waitingByLane.get(lane) ?? 0;
  }

  /** The earliest latest start among the waiting requests. */
  get nextStartDeadline(): MonotonicMs | null {
    return this.#scheduler.nextDeadline;
  }

  /** Dispatches, queues or refuses a request; a refusal has a time after which a retry would be admitted. */
  offer(place: WaitQueueEntry, context: OfferContext): AdmissionDecision {
    const answer = this.#scheduler.offer(requestOf(place), context);
    switch (answer.kind) {
      case 'dispatch-now':
        this.#scheduler.settle(place.id, Math.max(MIN_COST_MS, place.costMs));
        break;
      case 'queued':
        this.#adjustCount(place.lane, 1);
        break;
      case 'refused':
        break;
    }
    return answer;
  }

  /** Removes and returns the next request for which there is capacity. */
  next(now: MonotonicMs, hasCapacity: (id: RequestId) => boolean): WaitQueueRequest | null {
    const next = this.#scheduler.next(now, ({ id }) => hasCapacity(id));
    if (next === null) return null;
    this.#scheduler.settle(next.id, QUEUE_RULES.costOf(next));
    this.#adjustCount(next.lane, -1);
    return next;
  }

  /** Removes a request whose caller has disconnected. */
  remove(place: Pick<WaitQueueEntry, 'id' | 'lane'>, now: MonotonicMs): void {
    const before = this.#scheduler.waiting;
    this.#scheduler.remove(place.id, now);
    if (this.#scheduler.waiting < before) this.#adjustCount(place.lane, -1);
  }

  /** Removes the requests whose latest start has passed, and returns each with its refusal. */
  expired(now: MonotonicMs): readonly ExpiredRequest<WaitQueueRequest>[] {
    const expired = this.#scheduler.expired(now);
    for (const { description } of expired) this.#adjustCount(description.lane, -1);
    return expired;
  }

  #adjustCount(lane: string, change: number): void {
    const waiting = this.waitingInLane(lane) + change;
    if (waiting <= 0) this.#waitingByLane.delete(lane);
    else this.#waitingByLane.set(lane, waiting);
  }
}

function requestOf(place: WaitQueueEntry): WaitQueueRequest {
  const { id, lane, tenant, rank, canMeetDeadline, costMs, arrivedAtMs, latestStartMs } = place;
  const className = String(rank * CLASSES_PER_RANK + (canMeetDeadline ? 0 : 1));
  return { id, lane, tenant, className, costMs, arrivedAt: arrivedAtMs, deadline: latestStartMs };
}
