/**
 * Start-time fair queueing over request cost (Goyal, Vin and Cheng 1997) among the tenants of one class. While all
 * tenants have requests waiting, each gets capacity in proportion to its weight, whatever the number and size of
 * its requests. A request is charged its expected cost when it is dispatched; the charge is corrected to the actual
 * cost when the request ends.
 */
import type { TenantName } from '../common/identifiers.js';
import type { Admissible } from './admission-rules.js';
import { IndexedHeap } from './indexed-heap.js';
import type { WaitingRequest } from './waiting-request.js';

/** A tenant's waiting requests; the heap key is the start tag of the first one. */
interface TenantQueue<Request extends Admissible> {
  key: number;
  heapIndex: number;
  readonly tenant: TenantName;
  weight: number;
  /** The virtual time up to which the tenant has been served. */
  finish: number;
  waiting: WaitingRequest<Request>[];
  /** Summed cost of the waiting requests. */
  cost: number;
}

/** The queue of one class on one lane. Updated in place by its owner. */
export class FairQueue<Request extends Admissible = Admissible> {
  readonly #tenants = new Map<TenantName, TenantQueue<Request>>();
  readonly #active = new IndexedHeap<TenantQueue<Request>>();
  #virtualTime = 0;
  #waiting = 0;
  #cost = 0;
  #activeWeight = 0;

  /** The number of waiting requests. */
  get size(): number {
    return this.#waiting;
  }

  /** Summed cost of the waiting requests. */
  get cost(): number {
    return this.#cost;
  }

  /** Summed weight of the tenants that have requests waiting. */
  get activeWeight(): number {
    return this.#activeWeight;
  }

  /** The number of a tenant's waiting requests. */
  sizeOf(tenant: TenantName): number {
    return this.#tenants.get(tenant)?.waiting.length ?? 0;
  }

  /** Summed cost of a tenant's waiting requests. */
  costOf(tenant: TenantName): number {
    return this.#tenants.get(tenant)?.cost ?? 0;
  }

  /** Adds a request: at the front of its tenant's requests when it was charged before (a retry), else at the end. */
  add(request: WaitingRequest<Request>, weight: number): void {
    const queue = this.#queueOf(request.description.tenant, weight);
    if (request.charged) {
      queue.waiting.unshift(request);
    } else {
      queue.waiting.push(request);
    }
    queue.cost += request.cost;
    this.#waiting += 1;
    this.#cost += request.cost;
    if (queue.heapIndex < 0) {
      queue.key = Math.max(this.#virtualTime, queue.finish);
      this.#active.add(queue);
      this.#activeWeight += queue.weight;
    }
  }

  /** The request to dispatch next. */
  first(): WaitingRequest<Request> | undefined {
    return this.#active.first()?.waiting[0];
  }

  /** Removes the request to dispatch next and charges its tenant, unless the request was charged before. */
  takeFirst(): WaitingRequest<Request> | undefined {
    const queue = this.#active.first();
    const request = queue?.waiting.shift();
    if (queue === undefined || request === undefined) {
      return undefined;
    }
    this.#subtractCost(queue, request);
    this.#virtualTime = Math.max(this.#virtualTime, queue.key);
    if (!request.charged) {
      queue.finish = queue.key + request.cost / queue.weight;
    }
    this.#reposition(queue);
    return request;
  }

  /** Charges a tenant for a request that was dispatched without waiting. */
  charge(tenant: TenantName, weight: number, cost: number): void {
    const queue = this.#queueOf(tenant, weight);
    const start = Math.max(this.#virtualTime, queue.finish);
    this.#virtualTime = start;
    queue.finish = start + cost / queue.weight;
    this.#reposition(queue);
  }

  /** Corrects a tenant's charge by the difference between actual and charged cost. */
  correct(tenant: TenantName, weight: number, difference: number): void {
    const queue = this.#queueOf(tenant, weight);
    queue.finish += difference / queue.weight;
    this.#reposition(queue);
  }

  /** Removes a waiting request that was cancelled or expired. */
  remove(request: WaitingRequest<Request>): void {
    const queue = this.#tenants.get(request.description.tenant);
    const index = queue?.waiting.indexOf(request) ?? -1;
    if (queue === undefined || index < 0) {
      return;
    }
    queue.waiting.splice(index, 1);
    this.#subtractCost(queue, request);
    this.#reposition(queue);
  }

  #subtractCost(queue: TenantQueue<Request>, request: WaitingRequest<Request>): void {
    queue.cost -= request.cost;
    this.#waiting -= 1;
    this.#cost -= request.cost;
  }

  /**
   * Updates a tenant's position after a change of its charge. A tenant with no waiting requests is forgotten once
   * virtual time has reached its finish tag, as a new entry would start at the same tag.
   */
  #reposition(queue: TenantQueue<Request>): void {
    if (queue.waiting.length > 0) {
      queue.key = Math.max(this.#virtualTime, queue.finish);
      this.#active.update(queue);
      return;
    }
    if (queue.heapIndex >= 0) {
      this.#active.remove(queue);
      this.#activeWeight -= queue.weight;
    }
    if (queue.finish <= this.#virtualTime) {
      this.#tenants.delete(queue.tenant);
    }
  }

  #queueOf(tenant: TenantName, weight: number): TenantQueue<Request> {
    const known = this.#tenants.get(tenant);
    if (known !== undefined) {
      this.#setWeight(known, weight);
      return known;
    }
    const created: TenantQueue<Request> = {
      key: 0,
      heapIndex: -1,
      tenant,
      weight,
      finish: this.#virtualTime,
      waiting: [],
      cost: 0,
    };
    this.#tenants.set(tenant, created);
    return created;
  }

  #setWeight(queue: TenantQueue<Request>, weight: number): void {
    if (queue.heapIndex >= 0) {
      this.#activeWeight += weight - queue.weight;
    }
    queue.weight = weight;
  }
}
