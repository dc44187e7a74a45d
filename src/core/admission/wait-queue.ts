/**
 * The requests that wait at a daemon for room at servers, over the same admission as any other way in: in
 * strict order of the operator's ranks, in a rank what can be in time before what cannot, then by a fair share
 * between tenants, then by arrival. Each has a latest start, after which it could not be in time any more.
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

/** A request at the door of a room. */
export interface WaitQueueRequest extends Admissible {
  /** Requests of one lane wait for the same room and are alike. */
  readonly lane: string;
  /** The time of a server that it is expected to take up. */
  readonly costMs: Milliseconds;
}

/** What a place in the order is made from. */
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

/** Of each rank: what can be in time, and what cannot. */
const CLASSES_PER_RANK = 2;
/** No request is free. */
const LEAST_COST_MS: Milliseconds = 1;
/** The configuration of described requests gives tenants no weights. */
const EQUAL_WEIGHT = 1;

const ROOM_RULES: AdmissionRules<WaitQueueRequest> = {
  minClassShare: 0,
  laneOf: ({ lane }) => lane,
  costOf: ({ costMs }) => Math.max(LEAST_COST_MS, costMs),
  classOf: (name): ClassRules => ({ priority: Number(name), share: 1 }),
  weightOf: () => EQUAL_WEIGHT,
};

/** The room. Updated in place by its owner; it reads no clock. */
export class WaitQueue {
  readonly #lines: AdmissionScheduler<WaitQueueRequest>;
  readonly #waitingByLane = new Map<string, number>();

  constructor(limits: Partial<AdmissionLimits> = {}) {
    this.#lines = new AdmissionScheduler(ROOM_RULES, limits);
  }

  /** Requests that wait. */
  get waiting(): number {
    return this.#lines.waiting;
  }

  /** Requests of a lane that wait. */
  waitingInLane(lane: string): number {
    return this.#waitingByLane.get(lane) ?? 0;
  }

  /** The earliest of the latest starts. */
  get nextStartDeadline(): MonotonicMs | null {
    return this.#lines.nextDeadline;
  }

  /** Lets a request go, has it wait, or refuses it with the time after which it would be taken. */
  offer(place: WaitQueueEntry, context: OfferContext): AdmissionDecision {
    const answer = this.#lines.offer(requestOf(place), context);
    switch (answer.kind) {
      case 'dispatch-now':
        this.#lines.settle(place.id, Math.max(LEAST_COST_MS, place.costMs));
        break;
      case 'queued':
        this.#count(place.lane, 1);
        break;
      case 'refused':
        break;
    }
    return answer;
  }

  /** Takes out the request whose turn it is, of those for which there is room. */
  next(now: MonotonicMs, hasRoom: (id: RequestId) => boolean): WaitQueueRequest | null {
    const next = this.#lines.next(now, ({ id }) => hasRoom(id));
    if (next === null) return null;
    this.#lines.settle(next.id, ROOM_RULES.costOf(next));
    this.#count(next.lane, -1);
    return next;
  }

  /** Takes out a request whose caller has gone. */
  remove(place: Pick<WaitQueueEntry, 'id' | 'lane'>, now: MonotonicMs): void {
    const before = this.#lines.waiting;
    this.#lines.remove(place.id, now);
    if (this.#lines.waiting < before) this.#count(place.lane, -1);
  }

  /** Takes out those whose latest start has passed, each with its refusal. */
  expired(now: MonotonicMs): readonly ExpiredRequest<WaitQueueRequest>[] {
    const expired = this.#lines.expired(now);
    for (const { description } of expired) this.#count(description.lane, -1);
    return expired;
  }

  #count(lane: string, change: number): void {
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
