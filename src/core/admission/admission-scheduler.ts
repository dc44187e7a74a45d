/**
 * Admission: decides on arrival whether a request is dispatched, queued or refused. Queues are bounded, and a request
 * that is not expected to start before its deadline is refused on arrival, with a time after which a retry would be
 * admitted. `AdmissionRules` supplies the class, lane, cost and weight of a request, so that the product's own API
 * and the gateway's routes share this code.
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

/** Limits of the queues of one scheduler. */
export interface AdmissionLimits {
  /** The maximum number of requests waiting in one class of one lane. */
  readonly maxWaitingPerClass: number;
}

export const ADMISSION_DEFAULTS: AdmissionLimits = { maxWaitingPerClass: 8_192 };

/** Tenants are held to their share of a class's queue only while it is filled to at least this fraction. */
const UNRESTRICTED_QUEUE_SHARE = 0.5;

/** The decision about an offered request. */
export type AdmissionDecision =
  | { readonly kind: 'dispatch-now' }
  /** `expectedWaitMs` is null before the lane's drain rate is known. */
  | { readonly kind: 'queued'; readonly expectedWaitMs: Milliseconds | null }
  | { readonly kind: 'refused'; readonly fault: Fault };

/** The circumstances of an offer. */
export interface OfferContext {
  readonly now: MonotonicMs;
  /** Whether a backend could run the request now (routing chose one). */
  readonly hasCapacity: boolean;
}

/** All requests that are waiting or admitted. Updated in place by its owner, as it is on the path of every request. */
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

  /**
   * Must be called after the rules' priorities or shares of classes have changed. A tenant's new weight applies from
   * its next request on.
   */
  onRulesChanged(): void {
    for (const lane of this.#lanes.values()) {
      lane.configure((name) => this.#rules.classOf(name));
    }
  }

  /** The number of waiting requests. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /** The number of requests that were admitted and have not ended. */
  get admitted(): number {
    return this.#admitted.size;
  }

  /** The earliest deadline among the waiting requests, for the owner's timer. */
  get nextDeadline(): MonotonicMs | null {
    return this.#deadlines.first()?.key ?? null;
  }

  /**
   * Offers a request. A request that was admitted before (a retry) is dispatched again, or waits ahead of its
   * tenant's other requests, and is not charged twice.
   */
  offer(description: Request, context: OfferContext): AdmissionDecision {
    const { now, hasCapacity } = context;
    const lane = this.#laneOf(description);
    const earlierAdmission = this.#admitted.get(description.id);
    if (hasCapacity && (earlierAdmission !== undefined || lane.size === 0)) {
      this.#admitDirectly(description, lane, earlierAdmission, now);
      return { kind: 'dispatch-now' };
    }
    const estimate = this.#estimate(description, lane);
    if (this.#waiting.has(description.id)) {
      return { kind: 'queued', expectedWaitMs: estimate.waitMs };
    }
    const fault =
      earlierAdmission === undefined ? this.#refusalOf(description, lane, estimate, now) : null;
    if (fault !== null) {
      return { kind: 'refused', fault };
    }
    this.#enqueue(description, lane, earlierAdmission, now);
    return { kind: 'queued', expectedWaitMs: estimate.waitMs };
  }

  /**
   * Removes and returns the next request that a backend could run. After capacity was freed, call until null.
   * `hasCapacity` is called at most once for each lane.
   */
  next(now: MonotonicMs, hasCapacity: (request: Request) => boolean): Request | null {
    for (const lane of this.#lanesByPriority()) {
      const first = lane.first();
      if (first !== undefined && hasCapacity(first.description)) {
        lane.takeFirst(now);
        this.#removeWaiting(first);
        this.#recordAdmitted(first, now);
        return first.description;
      }
    }
    return null;
  }

  /** Records the end of a request with its actual cost; 0 when it was not run. */
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

  /** Removes a request whose caller has disconnected. Unknown ids are ignored. */
  remove(id: RequestId, now: MonotonicMs): void {
    const waiting = this.#waiting.get(id);
    if (waiting !== undefined) {
      this.#lanes.get(waiting.lane)?.remove(waiting, now);
      this.#removeWaiting(waiting);
    }
    this.settle(id, 0);
  }

  /** The expected wait of such a request if it were offered now; null before the lane's drain rate is known. */
  expectedWaitMs(description: Request): Milliseconds | null {
    return this.#estimate(description, this.#laneOf(description)).waitMs;
  }

  /** Removes the waiting requests whose deadline has passed, and returns each with its fault. */
  expired(now: MonotonicMs): ExpiredRequest<Request>[] {
    const expiredRequests: ExpiredRequest<Request>[] = [];
    for (;;) {
      const first = this.#deadlines.first();
      if (first === undefined || first.key > now) {
        return expiredRequests;
      }
      const lane = this.#lanes.get(first.lane);
      const estimate = lane === undefined ? null : this.#estimate(first.description, lane);
      this.remove(first.description.id, now);
      expiredRequests.push({ description: first.description, fault: deadlineFault(estimate) });
    }
  }

  #admitDirectly(
    description: Request,
    lane: Lane<Request>,
    earlierAdmission: AdmittedRequest | undefined,
    now: MonotonicMs,
  ): void {
    if (earlierAdmission !== undefined) {
      return;
    }
    const cost = this.#rules.costOf(description);
    const queue = lane.queueOf(description.className, this.#rules.classOf(description.className));
    queue.charge(description.tenant, this.#rules.weightOf(description.tenant), cost);
    lane.recordDirectAdmission(description.className, cost, now);
    this.#recordAdmitted({ description, lane: this.#rules.laneOf(description), cost }, now);
  }

  #enqueue(
    description: Request,
    lane: Lane<Request>,
    earlierAdmission: AdmittedRequest | undefined,
    now: MonotonicMs,
  ): void {
    const request: WaitingRequest<Request> = {
      key: description.deadline,
      heapIndex: -1,
      description,
      lane: this.#rules.laneOf(description),
      cost: earlierAdmission?.cost ?? this.#rules.costOf(description),
      charged: earlierAdmission !== undefined,
    };
    const queue = lane.queueOf(description.className, this.#rules.classOf(description.className));
    lane.add(request, queue, this.#rules.weightOf(description.tenant), now);
    this.#waiting.set(description.id, request);
    this.#deadlines.add(request);
  }

  #estimate(description: Request, lane: Lane): WaitEstimate {
    const classRules = this.#rules.classOf(description.className);
    return estimateWait({
      lane,
      queue: lane.queueOf(description.className, classRules),
      priority: classRules.priority,
      tenant: description.tenant,
      weight: this.#rules.weightOf(description.tenant),
    });
  }

  #refusalOf(
    description: Request,
    lane: Lane<Request>,
    estimate: WaitEstimate,
    now: MonotonicMs,
  ): Fault | null {
    const queue = lane.queueOf(description.className, this.#rules.classOf(description.className));
    const limit = this.#limits.maxWaitingPerClass;
    const weight = this.#rules.weightOf(description.tenant);
    const tenantLimit = (limit * weight) / (queue.activeWeight + weight);
    const isOverShare = queue.sizeOf(description.tenant) >= Math.max(1, tenantLimit);
    return shedFault({
      estimate,
      slackMs: description.deadline - now,
      queueFull: queue.size >= limit,
      tenantOverShare: queue.size >= limit * UNRESTRICTED_QUEUE_SHARE && isOverShare,
    });
  }

  #recordAdmitted(
    request: Pick<WaitingRequest<Request>, 'description' | 'lane' | 'cost'>,
    now: MonotonicMs,
  ) {
    const { id, tenant, className } = request.description;
    const { lane, cost } = request;
    this.#admitted.set(id, { id, tenant, className, lane, cost, at: now });
  }

  #removeWaiting(request: WaitingRequest<Request>): void {
    this.#waiting.delete(request.description.id);
    this.#deadlines.remove(request);
  }

  /** Lanes with waiting requests, ordered by the priority of their first request, then by its arrival. */
  #lanesByPriority(): Lane<Request>[] {
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

/** A request that waited past its deadline, and the fault to answer it with. */
export interface ExpiredRequest<Request> {
  readonly description: Request;
  readonly fault: Fault;
}
