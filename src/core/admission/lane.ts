/**
 * The waiting requests for one model, adapter or web service, by class. Classes go in order of
 * priority as long as each stays within its share of what was let go lately.
 */
import type { ClassName } from '../common/identifiers.js';
import type { MonotonicMs } from '../common/time.js';
import type { Admissible, ClassRules } from './admission-rules.js';
import { ClassUse } from './class-usage.js';
import { DrainRate } from './drain-rate.js';
import { FairQueue } from './fair-queue.js';
import type { WaitingRequest } from './waiting-request.js';

/** A class with its queue, in order of priority. */
interface LaneClass<Request extends Admissible> {
  readonly name: ClassName;
  readonly queue: FairQueue<Request>;
  priority: number;
  share: number;
}

/** The lane. Updated in place by its owner. */
export class Lane<Request extends Admissible = Admissible> {
  readonly rate = new DrainRate();
  readonly #use = new ClassUse();
  readonly #minClassShare: number;
  #classes: LaneClass<Request>[] = [];
  #size = 0;

  /** @param minClassShare what each class that waits gets at least */
  constructor(minClassShare: number) {
    this.#minClassShare = minClassShare;
  }

  /** Requests waiting in all classes. */
  get size(): number {
    return this.#size;
  }

  /** The queue of a class. Its priority and share are taken over from the configuration. */
  queueOf(name: ClassName, stated: ClassRules): FairQueue<Request> {
    const known = this.#classes.find((candidate) => candidate.name === name);
    if (known !== undefined) {
      return known.queue;
    }
    const queue = new FairQueue<Request>();
    this.#classes.push({ name, queue, priority: stated.priority, share: stated.share });
    this.#sort();
    return queue;
  }

  /** Takes over changed priorities and shares. */
  configure(stated: (name: ClassName) => ClassRules): void {
    for (const known of this.#classes) {
      known.priority = stated(known.name).priority;
      known.share = stated(known.name).share;
    }
    this.#sort();
  }

  /** Adds a waiting request. */
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

  /** The request whose turn it is. */
  first(): WaitingRequest<Request> | undefined {
    return this.#turn()?.queue.first();
  }

  /** Takes out the request whose turn it is. */
  takeFirst(now: MonotonicMs): WaitingRequest<Request> | undefined {
    const turn = this.#turn();
    const request = turn?.queue.takeFirst();
    if (turn === undefined || request === undefined) {
      return undefined;
    }
    this.rate.busy(now);
    this.rate.served(request.cost);
    this.#use.add(turn.name, request.cost, now);
    this.#left(now);
    return request;
  }

  /** Notes work that was let go without waiting. */
  recordDirectAdmission(name: ClassName, cost: number, now: MonotonicMs): void {
    this.#use.add(name, cost, now);
  }

  /** Takes out a request that has gone away. */
  remove(request: WaitingRequest<Request>, now: MonotonicMs): void {
    const known = this.#classes.find(
      (candidate) => candidate.name === request.description.className,
    );
    const before = known?.queue.size ?? 0;
    known?.queue.remove(request);
    if (known !== undefined && known.queue.size < before) {
      this.#left(now);
    }
  }

  /** Summed cost of what waits in classes of a higher priority (a lower number). */
  costOfHigherPriority(priority: number): number {
    let cost = 0;
    for (const known of this.#classes) {
      cost += known.priority < priority ? known.queue.cost : 0;
    }
    return cost;
  }

  #left(now: MonotonicMs): void {
    this.#size -= 1;
    if (this.#size === 0) {
      this.rate.idle(now);
    }
  }

  #turn(): LaneClass<Request> | undefined {
    const waiting = this.#classes.filter((known) => known.queue.size > 0);
    const most = 1 - this.#minClassShare * (waiting.length - 1);
    const within = waiting.find(
      (known) => this.#use.shareOf(known.name) <= Math.min(known.share, most),
    );
    return within ?? waiting[0];
  }

  #sort(): void {
    this.#classes.sort((left, right) => left.priority - right.priority);
  }
}
