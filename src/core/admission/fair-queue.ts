/**
 * Start-time fair queueing over token cost (Goyal, Vin and Cheng 1997) among the tenants of one
 * class: with all of them waiting, each gets capacity in proportion to its weight, whatever the
 * number and size of its requests. What a request used in fact corrects what it was charged.
 */
import type { TenantName } from '../common/identifiers.js';
import type { Admissible } from './admission-rules.js';
import { IndexedHeap } from './indexed-heap.js';
import type { WaitingRequest } from './waiting-request.js';

/** A tenant's place in the queue; its heap key is the start tag of its first waiting request. */
interface TenantQueue<Request extends Admissible> {
  key: number;
  heapIndex: number;
  readonly tenant: TenantName;
  weight: number;
  /** The virtual time up to which the tenant has been served. */
  finish: number;
  waiting: WaitingRequest<Request>[];
  /** Summed cost of what waits. */
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

  /** Requests waiting. */
  get size(): number {
    return this.#waiting;
  }

  /** Summed cost of what waits. */
  get cost(): number {
    return this.#cost;
  }

  /** Summed weight of the tenants that wait. */
  get activeWeight(): number {
    return this.#activeWeight;
  }

  /** Requests of a tenant that wait. */
  sizeOf(tenant: TenantName): number {
    return this.#tenants.get(tenant)?.waiting.length ?? 0;
  }

  /** Summed cost of a tenant's requests that wait. */
  costOf(tenant: TenantName): number {
    return this.#tenants.get(tenant)?.cost ?? 0;
  }

  /** Adds a request, at the tenant's front when it was charged before, else at its end. */
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

  /** The request whose turn it is. */
  first(): WaitingRequest<Request> | undefined {
    return this.#active.first()?.waiting[0];
  }

  /** Takes out the request whose turn it is and charges it. */
  takeFirst(): WaitingRequest<Request> | undefined {
    const queue = this.#active.first();
    const request = queue?.waiting.shift();
    if (queue === undefined || request === undefined) {
      return undefined;
    }
    this.#leave(queue, request);
    this.#virtualTime = Math.max(this.#virtualTime, queue.key);
    if (!request.charged) {
      queue.finish = queue.key + request.cost / queue.weight;
    }
    this.#settle(queue);
    return request;
  }

  /** Charges a request that never waited. */
  charge(tenant: TenantName, weight: number, cost: number): void {
    const queue = this.#queueOf(tenant, weight);
    const start = Math.max(this.#virtualTime, queue.finish);
    this.#virtualTime = start;
    queue.finish = start + cost / queue.weight;
    this.#settle(queue);
  }

  /** Corrects a tenant's charge by what was used in fact less what was charged. */
  correct(tenant: TenantName, weight: number, difference: number): void {
    const queue = this.#queueOf(tenant, weight);
    queue.finish += difference / queue.weight;
    this.#settle(queue);
  }

  /** Takes out a request that has gone away. */
  remove(request: WaitingRequest<Request>): void {
    const queue = this.#tenants.get(request.description.tenant);
    const heapIndex = queue?.waiting.indexOf(request) ?? -1;
    if (queue === undefined || heapIndex < 0) {
      return;
    }
    queue.waiting.splice(heapIndex, 1);
    this.#leave(queue, request);
    this.#settle(queue);
  }

  #leave(queue: TenantQueue<Request>, request: WaitingRequest<Request>): void {
    queue.cost -= request.cost;
    this.#waiting -= 1;
    this.#cost -= request.cost;
  }

  /** Puts a tenant where its charge says it belongs, and forgets one that is owed nothing. */
  #settle(queue: TenantQueue<Request>): void {
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
      this.#reweigh(known, weight);
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

  #reweigh(queue: TenantQueue<Request>, weight: number): void {
    if (queue.heapIndex >= 0) {
      this.#activeWeight += weight - queue.weight;
    }
    queue.weight = weight;
  }
}
