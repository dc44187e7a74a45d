/**
 * Finds the bodies of callers that do not go on: those without a byte for the idle time-out end, and where memory is needed the
 * one that has made no progress for longest is evicted.
 */
import type { TimerService } from './timer-service.js';

/** A body with less than this in a stall span has stalled: a byte now and then is no progress. */
const MIN_PROGRESS_BYTES = 1_024;
const STALL_MS = 1_000;
const SWEEP_MS = 500;

/** A body while it arrives. */
export interface WatchedBody {
  /** The number of bytes that have arrived. */
  readonly length: number;
  /** Whether this daemon does not read its connection at present. */
  readonly isHeldBack: boolean;
  /** Ends the reading and gives the memory of its request back at once. */
  end(reason: 'timed-out' | 'evicted'): void;
}

interface Progress {
  /** When the last `MIN_PROGRESS_BYTES` had arrived, and the length of the body at that time. */
  madeAtMs: number;
  madeAtLength: number;
  lengthAtSweep: number;
  idleMs: number;
}

/** Dependencies of `StalledBodies`. */
export interface StalledBodiesOptions {
  readonly timers: TimerService;
  /** From the last byte of a body that stops until it ends. */
  readonly idleTimeoutMs: () => number;
}

/** The bodies that are arriving. */
export class StalledBodies {
  readonly #options: StalledBodiesOptions;
  /** In the order of their latest progress. */
  readonly #bodies = new Map<WatchedBody, Progress>();
  #isSweeping = false;

  constructor(options: StalledBodiesOptions) {
    this.#options = options;
  }

  add(body: WatchedBody): void {
    const madeAtMs = this.#options.timers.nowMs();
    this.#bodies.set(body, { madeAtMs, madeAtLength: 0, lengthAtSweep: 0, idleMs: 0 });
    if (!this.#isSweeping) this.#scheduleSweep();
  }

  remove(body: WatchedBody): void {
    this.#bodies.delete(body);
  }

  /** Records that a chunk of a body has arrived. */
  recordArrival(body: WatchedBody): void {
    const progress = this.#bodies.get(body);
    if (progress === undefined) return;
    if (body.length - progress.madeAtLength < MIN_PROGRESS_BYTES) return;
    progress.madeAtMs = this.#options.timers.nowMs();
    progress.madeAtLength = body.length;
    this.#bodies.delete(body);
    this.#bodies.set(body, progress);
  }

  /** Tries until there is memory, with one stalled body less each time; undefined where none is left. */
  makeRoom<Result>(attempt: () => Result | undefined): Result | undefined {
    let result = attempt();
    while (result === undefined && this.#endLongestStalled()) result = attempt();
    return result;
  }

  #endLongestStalled(): boolean {
    const [longest] = this.#bodies;
    if (longest === undefined) return false;
    const [body, { madeAtMs }] = longest;
    if (this.#options.timers.nowMs() - madeAtMs < STALL_MS) return false;
    this.#end(body, 'evicted');
    return true;
  }

  #scheduleSweep(): void {
    this.#isSweeping = true;
    this.#options.timers.after(SWEEP_MS, () => {
      this.#isSweeping = false;
      this.#sweep();
      if (this.#bodies.size > 0) this.#scheduleSweep();
    });
  }

  /** Idle time is counted in sweeps, so that a pause of this process does not count as the callers'. */
  #sweep(): void {
    const idleTimeoutMs = this.#options.idleTimeoutMs();
    for (const [body, progress] of [...this.#bodies]) {
      const isIdle = body.length === progress.lengthAtSweep && !body.isHeldBack;
      progress.idleMs = isIdle ? progress.idleMs + SWEEP_MS : 0;
      progress.lengthAtSweep = body.length;
      if (progress.idleMs >= idleTimeoutMs) this.#end(body, 'timed-out');
    }
  }

  #end(body: WatchedBody, reason: 'timed-out' | 'evicted'): void {
    this.#bodies.delete(body);
    body.end(reason);
  }
}
