/**
 * The attempts that this daemon has started and ended at each backend. A load report is always
 * somewhat old; these counts correct it, so that a daemon does not send all its requests to a
 * backend that was idle in a report half a second old.
 */
import type { AttemptId, BackendName } from '../common/identifiers.js';
import type { MonotonicMs } from '../common/time.js';
import { TimedSum } from './timed-sum.js';

/** An attempt that is being sent to a backend. Token counts are estimates; 0 for web backends. */
export interface StartedAttempt {
  readonly attempt: AttemptId;
  readonly backend: BackendName;
  readonly at: MonotonicMs;
  readonly promptTokens: number;
}

/** The changes to one backend's load that this daemon caused. Updated in place. */
export class OutstandingRecord {
  /** Attempts started and not ended. */
  inFlight = 0;
  /** The latest start or end; all sums after this time are 0. */
  #changedAt: MonotonicMs = Number.NEGATIVE_INFINITY;
  readonly #started = new TimedSum();
  readonly #ended = new TimedSum();
  readonly #promptTokens = new TimedSum();

  /** Records the start of an attempt. */
  recordStart(at: MonotonicMs, promptTokens: number): void {
    this.inFlight += 1;
    this.#changedAt = at;
    this.#started.add(at, 1);
    this.#promptTokens.add(at, promptTokens);
  }

  /** Records the end of an attempt. */
  recordEnd(at: MonotonicMs): void {
    this.inFlight -= 1;
    this.#changedAt = at;
    this.#ended.add(at, 1);
  }

  /**
   * Attempts started minus attempts ended after `moment`. Calls must not go back in time: earlier
   * amounts are discarded.
   */
  requestsSince(moment: MonotonicMs): number {
    if (this.#changedAt <= moment) {
      return 0;
    }
    return this.#started.sumAfter(moment) - this.#ended.sumAfter(moment);
  }

  /** Prompt tokens sent after `moment`. Calls must not go back in time, as above. */
  promptTokensSince(moment: MonotonicMs): number {
    return this.#changedAt <= moment ? 0 : this.#promptTokens.sumAfter(moment);
  }
}

interface OpenAttempt {
  readonly backend: BackendName;
}

/** This daemon's attempts by backend. Read for every routing decision, so updated in place. */
export class OutstandingTable {
  readonly #records = new Map<BackendName, OutstandingRecord>();
  readonly #open = new Map<AttemptId, OpenAttempt>();

  /** Records the start of an attempt. A repeat of an open attempt id is ignored. */
  recordStart(attempt: StartedAttempt): void {
    if (this.#open.has(attempt.attempt)) {
      return;
    }
    this.#open.set(attempt.attempt, { backend: attempt.backend });
    this.#getOrCreateRecord(attempt.backend).recordStart(attempt.at, attempt.promptTokens);
  }

  /** Records the end of an attempt, whatever its result. Unknown ids are ignored. */
  recordEnd(attempt: AttemptId, at: MonotonicMs): void {
    const open = this.#open.get(attempt);
    if (open === undefined) {
      return;
    }
    this.#open.delete(attempt);
    this.#getOrCreateRecord(open.backend).recordEnd(at);
  }

  /** The record of a backend, or undefined when nothing was ever sent to it. */
  get(backend: BackendName): OutstandingRecord | undefined {
    return this.#records.get(backend);
  }

  /** Attempts in flight to a backend. */
  inFlight(backend: BackendName): number {
    return this.#records.get(backend)?.inFlight ?? 0;
  }

  /** Attempts in flight to all backends. */
  get total(): number {
    return this.#open.size;
  }

  /** Removes the records of departed backends that have no attempt in flight. */
  retain(isKnown: (backend: BackendName) => boolean): void {
    for (const [backend, record] of this.#records) {
      if (record.inFlight === 0 && !isKnown(backend)) {
        this.#records.delete(backend);
      }
    }
  }

  #getOrCreateRecord(backend: BackendName): OutstandingRecord {
    const existing = this.#records.get(backend);
    if (existing !== undefined) {
      return existing;
    }
    const created = new OutstandingRecord();
    this.#records.set(backend, created);
    return created;
  }
}
