/** A virtual clock that advances from event to event, with the queue of scheduled events. */
import type { Milliseconds } from '../../core/common/time.js';

interface Scheduled {
  readonly at: Milliseconds;
  /** Events with equal times run in the order in which they were scheduled. */
  readonly order: number;
  readonly run: () => void;
}

/** Virtual time, driven by a binary heap of events. */
export class VirtualTime {
  private readonly heap: Scheduled[] = [];
  private order = 0;
  private time: Milliseconds = 0;

  /** The time of the event that is running. */
  get now(): Milliseconds {
    return this.time;
  }

  /** Schedules `run` after a delay. */
  schedule(delayMs: Milliseconds, run: () => void): void {
    this.order += 1;
    this.heap.push({ at: this.time + Math.max(0, delayMs), order: this.order, run });
    this.siftUp(this.heap.length - 1);
  }

  /** Runs all events up to a time, then sets the clock to it. */
  runUntil(end: Milliseconds): void {
    for (;;) {
      const next = this.heap[0];
      if (next === undefined || next.at > end) {
        break;
      }
      this.removeFirst();
      this.time = next.at;
      next.run();
    }
    this.time = end;
  }

  /** Runs events while `isWanted` holds; returns false when the end time was reached first. */
  runWhile(isWanted: () => boolean, end: Milliseconds): boolean {
    while (isWanted()) {
      const next = this.heap[0];
      if (next === undefined || next.at > end) {
        this.time = end;
        return false;
      }
      this.removeFirst();
      this.time = next.at;
      next.run();
    }
    return true;
  }

  private removeFirst(): void {
    const last = this.heap.pop();
    if (last !== undefined && this.heap.length > 0) {
      this.heap[0] = last;
      this.siftDown();
    }
  }

  private siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.isBefore(index, parent)) {
        return;
      }
      this.swap(index, parent);
      index = parent;
    }
  }

  private siftDown(): void {
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      let least = index;
      if (left < this.heap.length && this.isBefore(left, least)) least = left;
      if (right < this.heap.length && this.isBefore(right, least)) least = right;
      if (least === index) {
        return;
      }
      this.swap(index, least);
      index = least;
    }
  }

  private isBefore(one: number, other: number): boolean {
    const [a, b] = [this.heap[one], this.heap[other]];
    if (a === undefined || b === undefined) return false;
    return a.at < b.at || (a.at === b.at && a.order < b.order);
  }

  private swap(one: number, other: number): void {
    const [a, b] = [this.heap[one], this.heap[other]];
    if (a !== undefined && b !== undefined) {
      this.heap[one] = b;
      this.heap[other] = a;
    }
  }
}
