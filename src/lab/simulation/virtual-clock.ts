/** Virtual time: a heap of events ordered by time, then by order of scheduling. */

interface Scheduled {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** More events than this at one time are treated as an endless loop in the simulated system. */
const MAX_EVENTS_AT_ONE_TIME = 200_000;

/** A clock that advances from event to event. */
export class VirtualClock {
  now = 0;
  readonly #heap: Scheduled[] = [];
  #scheduled = 0;
  #eventsNow = 0;

  /** Schedules an event; an event in the past runs at the current time. */
  scheduleAt(time: number, run: () => void): void {
    this.#scheduled += 1;
    this.#heap.push({ at: Math.max(time, this.now), order: this.#scheduled, run });
    this.#rise(this.#heap.length - 1);
  }

  /** Runs all events up to a time. */
  runUntil(end: number): void {
    for (;;) {
      const first = this.#heap[0];
      if (first === undefined || first.at > end) {
        this.now = Math.max(this.now, end);
        return;
      }
      this.#removeFirst();
      this.#countEvent(first.at);
      this.now = first.at;
      first.run();
    }
  }

  #countEvent(at: number): void {
    this.#eventsNow = at === this.now ? this.#eventsNow + 1 : 0;
    if (this.#eventsNow > MAX_EVENTS_AT_ONE_TIME) {
      throw new Error(
        `too many events at ${at} ms of virtual time: the simulation does not advance`,
      );
    }
  }

  #removeFirst(): void {
    const last = this.#heap.pop();
    if (last !== undefined && this.#heap.length > 0) {
      this.#heap[0] = last;
      this.#sink();
    }
  }

  #rise(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.#swapIfBefore(index, parent)) {
        return;
      }
      index = parent;
    }
  }

  #sink(): void {
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const child = this.#isBefore(left + 1, left) ? left + 1 : left;
      if (!this.#swapIfBefore(child, index)) {
        return;
      }
      index = child;
    }
  }

  #swapIfBefore(lower: number, upper: number): boolean {
    const first = this.#heap[lower];
    const second = this.#heap[upper];
    if (first === undefined || second === undefined || !this.#isBefore(lower, upper)) {
      return false;
    }
    this.#heap[lower] = second;
    this.#heap[upper] = first;
    return true;
  }

  #isBefore(left: number, right: number): boolean {
    const first = this.#heap[left];
    const second = this.#heap[right];
    if (first === undefined || second === undefined) {
      return false;
    }
    return first.at < second.at || (first.at === second.at && first.order < second.order);
  }
}
