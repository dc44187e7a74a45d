/**
 * The waiting requests for one model, adapter or web service, by class. Classes are served in order of priority,
 * except that a class above its share of the recently admitted cost is skipped while another class waits.
 */
import type { ClassName } from '../common/identifiers.js';
import type { MonotonicMs } from '../common/time.js';
import type { Admissible, ClassRules } from './admission-rules.js';
import { ClassUse } from './class-usage.js';
import { DrainRate } from './drain-rate.js';
import { FairQueue } from './fair-queue.js';
import type { WaitingRequest } from './waiting-request.js';

/** A class and its queue. */
interface LaneClass<Request extends Admissible> {
  readonly name: ClassName;
  readonly queue: FairQueue<Request>;
  priority: number;
  share: number;
}

/** The queues of one lane. Updated in place by its owner. */
export class Lane<Request extends Admissible = Admissible> {
  readonly rate = new DrainRate();
  readonly #use = new ClassUse();
  readonly #minClassShare: number;
  #classes: LaneClass<Request>[] = [];
  #size = 0;

  /** @param minClassShare the minimum share of each class that has requests waiting */
  constructor(minClassShare: number) {
    this.#minClassShare = minClassShare;
  }

  /** The number of waiting requests over all classes. */
  get size(): number {
    return this.#size;
  }

  /** The queue of a class, created with the given priority and share on first use. */
  queueOf(name: ClassName, rules: ClassRules): FairQueue<Request> {
    const known = this.#classes.find((candidate) => candidate.name === name);
    if (known !== undefined) {
      return known.queue;
    }
    const queue = new FairQueue<Request>();
    this.#classes.push({ name, queue, priority: rules.priority, share: rules.share });
    this.#sort();
    return queue;
  }

  /** Applies changed priorities and shares. */
  configure(rules: (name: ClassName) => ClassRules): void {
    for (const known of this.#classes) {
      known.priority = rules(known.name).priority;
      known.share = rules(known.name).share;
    }
    this.#sort();
  }

  add(
    request: WaitingRequest<Request>,
    queue: FairQueue<Request>,
    weight: number,
    now: MonotonicMs,
  ): void {
    this.rate.busy(now);
    queue.add(request, weight);
    this.#size += 1;
  }

  /** The request to dispatch next. */
  first(): WaitingRequest<Request> | undefined {
    return this.#nextClass()?.queue.first();
  }

  /** Removes the request to dispatch next. */
  takeFirst(now: MonotonicMs): WaitingRequest<Request> | undefined {
    const nextClass = this.#nextClass();
    const request = nextClass?.queue.takeFirst();
    if (nextClass === undefined || request === undefined) {
      return undefined;
    }
    this.rate.busy(now);
    this.rate.served(request.cost);
    this.#use.add(nextClass.name, request.cost, now);
    this.#recordRemoval(now);
    return request;
  }

  /** Records the cost of a request that was dispatched without waiting. */
  recordDirectAdmission(name: ClassName, cost: number, now: MonotonicMs): void {
    this.#use.add(name, cost, now);
  }

  /** Removes a waiting request that was cancelled or expired. */
  remove(request: WaitingRequest<Request>, now: MonotonicMs): void {
    const known = this.#classes.find(
      (candidate) => candidate.name === request.description.className,
    );
    const before = known?.queue.size ?? 0;
    known?.queue.remove(request);
    if (known !== undefined && known.queue.size < before) {
      this.#recordRemoval(now);
    }
  }

  /** Summed cost of the requests waiting in classes of higher priority (a lower number). */
  costOfHigherPriority(priority: number): number {
    let cost = 0;
    for (const known of this.#classes) {
      cost += known.priority < priority ? known.queue.cost : 0;
    }
    return cost;
  }

  #recordRemoval(now: MonotonicMs): void {
    this.#size -= 1;
    if (this.#size === 0) {
      this.rate.idle(now);
    }
  }

  #nextClass(): LaneClass<Request> | undefined {
    const waiting = this.#classes.filter((known) => known.queue.size > 0);
    const maxShare = 1 - this.#minClassShare * (waiting.length - 1);
    const withinShare = waiting.find(
      (known) => this.#use.shareOf(known.name) <= Math.min(known.share, maxShare),
    );
    return withinShare ?? waiting[0];
  }

  #sort(): void {
    this.#classes.sort((left, right) => left.priority - right.priority);
  }
}
