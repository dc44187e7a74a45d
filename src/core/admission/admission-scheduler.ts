/**
 * Admission: decides at once whether a request goes, waits or is refused. Queues are bounded, and a
 * request that can't be expected to start before its deadline is refused at the door with the time
 * after which it would be taken. What a request, a class and a tenant are is told by its rules, so that
 * each way into a daemon has the same admission.
 */
import type { RequestId } from '../common/identifiers.js';
import type { Milliseconds, MonotonicMs } from '../common/time.js';
import type { Fault } from '../errors/fault.js';
import type { Admissible, AdmissionRules } from './admission-rules.js';
import { estimateWait, type WaitEstimate } from './expected-wait.js';
import { IndexedHeap } from './indexed-heap.js';
import { Lane } from './lane.js';
import { deadlineFault, shedFault } from './shed-fault.js';
import type { AdmittedRequest, WaitingRequest } from './waiting-request.js';

/** Limits of the queues. */
export interface AdmissionLimits {
  /** Requests that may wait in one class of one lane. */
  readonly maxWaitingPerClass: number;
}

/** The limits unless told otherwise. */
export const ADMISSION_DEFAULTS: AdmissionLimits = { maxWaitingPerClass: 8_192 };

/** The part of a class's queue up to which no tenant is held to its part of it. */
const UNSHARED_QUEUE_PART = 0.5;

/** What becomes of an offered request. */
export type AdmissionDecision =
  | { readonly kind: 'dispatch-now' }
  /** `expectedWaitMs` is null before the lane's speed is known. */
  | { readonly kind: 'queued'; readonly expectedWaitMs: Milliseconds | null }
  | { readonly kind: 'refused'; readonly fault: Fault };

/** What is known when a request is offered. */
export interface OfferContext {
  readonly now: MonotonicMs;
  /** Whether a backend could take it this moment (routing chose one). */
  readonly hasCapacity: boolean;
}

/** All requests that wait or were let go. A hot container that its owner updates in place. */
export class AdmissionScheduler<Request extends Admissible> {
  readonly #rules: AdmissionRules<Request>;
  readonly #limits: AdmissionLimits;
  readonly #lanes = new Map<string, Lane<Request>>();
  readonly #waiting = new Map<RequestId, WaitingRequest<Request>>();
  readonly #deadlines = new IndexedHeap<WaitingRequest<Request>>();
  readonly #admitted = new Map<RequestId, AdmittedRequest>();

  constructor(rules: AdmissionRules<Request>, limits: Partial<AdmissionLimits> = {}) {
    this.#rules = rules;
    this.#limits = { ...ADMISSION_DEFAULTS, ...limits };
  }

  /** To be called when the rules say other classes. A tenant's new weight counts from its next request on. */
  onRulesChanged(): void {
    for (const lane of this.#lanes.values()) {
      lane.configure((name) => this.#rules.classOf(name));
    }
  }

  /** Requests waiting. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /** Requests let go and not ended. */
  get admitted(): number {
    return this.#admitted.size;
  }

  /** The earliest deadline among those waiting, for the owner's timer. */
  get nextDeadline(): MonotonicMs | null {
    return this.#deadlines.first()?.key ?? null;
  }

  /**
   * Offers a request. One that was let go before (a retry) goes again, or waits in front of its
   * tenant's others, and is not charged twice.
   */
  offer(description: Request, context: OfferContext): AdmissionDecision {
    const { now, hasCapacity } = context;
    const lane = this.#laneOf(description);
    const before = this.#admitted.get(description.id);
    if (hasCapacity && (before !== undefined || lane.size === 0)) {
      this.#admitDirectly(description, lane, before, now);
      return { kind: 'dispatch-now' };
    }
    const estimate = this.#estimate(description, lane);
    if (this.#waiting.has(description.id)) {
      return { kind: 'queued', expectedWaitMs: estimate.waitMs };
    }
    const fault = before === undefined ? this.#shed(description, lane, estimate, now) : null;
    if (fault !== null) {
      return { kind: 'refused', fault };
    }
    this.#enqueue(description, lane, before, now);
    return { kind: 'queued', expectedWaitMs: estimate.waitMs };
  }

  /**
   * Takes out the next request that a backend could take. Call until null after capacity was freed.
   * `hasCapacity` is asked once for each lane at most.
   */
  next(now: MonotonicMs, hasCapacity: (request: Request) => boolean): Request | null {
    for (const lane of this.#lanesByTurn()) {
      const first = lane.first();
      if (first !== undefined && hasCapacity(first.description)) {
        lane.takeFirst(now);
        this.#forgetWaiting(first);
        this.#noteAdmitted(first, now);
        return first.description;
      }
    }
    return null;
  }

  /** Notes the end of a request with the cost that it had in fact; 0 when it was not run. */
  settle(id: RequestId, cost: number): void {
    const admitted = this.#admitted.get(id);
    if (admitted === undefined) {
      return;
    }
    this.#admitted.delete(id);
    const queue = this.#lanes
      .get(admitted.lane)
      ?.queueOf(admitted.className, this.#rules.classOf(admitted.className));
    const weight = this.#rules.weightOf(admitted.tenant);
    queue?.correct(admitted.tenant, weight, cost - admitted.cost);
  }

  /** Takes out a request whose caller has gone. Unknown ids are ignored. */
  remove(id: RequestId, now: MonotonicMs): void {
    const waiting = this.#waiting.get(id);
    if (waiting !== undefined) {
      this.#lanes.get(waiting.lane)?.remove(waiting, now);
      this.#forgetWaiting(waiting);
    }
    this.settle(id, 0);
  }

  /** How long a request like this one would wait now; null before the lane's speed is known. */
  expectedWaitMs(description: Request): Milliseconds | null {
    return this.#estimate(description, this.#laneOf(description)).waitMs;
  }

  /** Takes out the waiting requests whose deadline has passed, with the fault for each. */
  expired(now: MonotonicMs): ExpiredRequest<Request>[] {
    const gone: ExpiredRequest<Request>[] = [];
    for (;;) {
      const first = this.#deadlines.first();
      if (first === undefined || first.key > now) {
        return gone;
      }
      const lane = this.#lanes.get(first.lane);
      const estimate = lane === undefined ? null : this.#estimate(first.description, lane);
      this.remove(first.description.id, now);
      gone.push({ description: first.description, fault: deadlineFault(estimate) });
    }
  }

  #admitDirectly(
    description: Request,
    lane: Lane<Request>,
    before: AdmittedRequest | undefined,
    now: MonotonicMs,
  ): void {
    if (before !== undefined) {
      return;
    }
    const cost = this.#rules.costOf(description);
    const queue = lane.queueOf(description.className, this.#rules.classOf(description.className));
    queue.charge(description.tenant, this.#rules.weightOf(description.tenant), cost);
    lane.recordDirectAdmission(description.className, cost, now);
    this.#noteAdmitted({ description, lane: this.#rules.laneOf(description), cost }, now);
  }

  #enqueue(
    description: Request,
    lane: Lane<Request>,
    before: AdmittedRequest | undefined,
    now: MonotonicMs,
  ): void {
    const request: WaitingRequest<Request> = {
      key: description.deadline,
      heapIndex: -1,
      description,
      lane: this.#rules.laneOf(description),
      cost: before?.cost ?? this.#rules.costOf(description),
      charged: before !== undefined,
    };
    const queue = lane.queueOf(description.className, this.#rules.classOf(description.className));
    lane.add(request, queue, this.#rules.weightOf(description.tenant), now);
    this.#waiting.set(description.id, request);
    this.#deadlines.add(request);
  }

  #estimate(description: Request, lane: Lane): WaitEstimate {
    const stated = this.#rules.classOf(description.className);
    return estimateWait({
      lane,
      queue: lane.queueOf(description.className, stated),
      priority: stated.priority,
      tenant: description.tenant,
      weight: this.#rules.weightOf(description.tenant),
    });
  }

  #shed(
    description: Request,
    lane: Lane<Request>,
    estimate: WaitEstimate,
    now: MonotonicMs,
  ): Fault | null {
    const queue = lane.queueOf(description.className, this.#rules.classOf(description.className));
    const limit = this.#limits.maxWaitingPerClass;
    const weight = this.#rules.weightOf(description.tenant);
    const part = (limit * weight) / (queue.activeWeight + weight);
    const overPart = queue.sizeOf(description.tenant) >= Math.max(1, part);
    return shedFault({
      estimate,
      slackMs: description.deadline - now,
      queueFull: queue.size >= limit,
      tenantOverShare: queue.size >= limit * UNSHARED_QUEUE_PART && overPart,
    });
  }

  #noteAdmitted(
    request: Pick<WaitingRequest<Request>, 'description' | 'lane' | 'cost'>,
    now: MonotonicMs,
  ) {
    const { id, tenant, className } = request.description;
    const { lane, cost } = request;
    this.#admitted.set(id, { id, tenant, className, lane, cost, at: now });
  }

  #forgetWaiting(request: WaitingRequest<Request>): void {
    this.#waiting.delete(request.description.id);
    this.#deadlines.remove(request);
  }

  /** Lanes with the request of the highest priority first; of equals, the one that waits longest. */
  #lanesByTurn(): Lane<Request>[] {
    const lanes = [...this.#lanes.values()].filter((lane) => lane.size > 0);
    return lanes.length < 2 ? lanes : lanes.sort((left, right) => this.#compare(left, right));
  }

  #compare(left: Lane<Request>, right: Lane<Request>): number {
    const first = left.first()?.description;
    const second = right.first()?.description;
    if (first === undefined || second === undefined) {
      return 0;
    }
    const byPriority =
      this.#rules.classOf(first.className).priority -
      this.#rules.classOf(second.className).priority;
    return byPriority !== 0 ? byPriority : first.arrivedAt - second.arrivedAt;
  }

  #laneOf(description: Request): Lane<Request> {
    const key = this.#rules.laneOf(description);
    const known = this.#lanes.get(key);
    if (known !== undefined) {
      return known;
    }
    const created = new Lane<Request>(this.#rules.minClassShare);
    this.#lanes.set(key, created);
    return created;
  }
}

/** A request that waited past its deadline and the answer it is to be given. */
export interface ExpiredRequest<Request> {
  readonly description: Request;
  readonly fault: Fault;
}
