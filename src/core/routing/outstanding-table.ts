/**
 * What this daemon itself has sent to each backend. A load report is always somewhat old; what was
 * sent and ended since it was taken corrects it, so that a daemon never herds its own requests onto
 * the backend that looked idle half a second ago.
 */
import type { AttemptId, BackendName } from '../common/identifiers.js';
import type { MonotonicMs } from '../common/time.js';
import { TimedSum } from './timed-sum.js';

/** An attempt as it is handed to a backend. Token counts are estimates; 0 for web backends. */
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
  /** The latest start or end: before it there is something to sum, after it nothing. */
  #changedAt: MonotonicMs = Number.NEGATIVE_INFINITY;
  readonly #started = new TimedSum();
  readonly #ended = new TimedSum();
  readonly #promptTokens = new TimedSum();

  /** Notes a start. */
  start(at: MonotonicMs, promptTokens: number): void {
    this.inFlight += 1;
    this.#changedAt = at;
    this.#started.add(at, 1);
    this.#promptTokens.add(at, promptTokens);
  }

  /** Notes an end. */
  end(at: MonotonicMs): void {
    this.inFlight -= 1;
    this.#changedAt = at;
    this.#ended.add(at, 1);
  }

  /** Attempts started less attempts ended after a moment that only moves forward. */
  requestsSince(moment: MonotonicMs): number {
    if (this.#changedAt <= moment) {
      return 0;
    }
    return this.#started.sumAfter(moment) - this.#ended.sumAfter(moment);
  }

  /** Prompt tokens sent after a moment that only moves forward. */
  promptTokensSince(moment: MonotonicMs): number {
    return this.#changedAt <= moment ? 0 : this.#promptTokens.sumAfter(moment);
  }
}

interface OpenAttempt {
  readonly backend: BackendName;
}

/** All attempts of this daemon by backend. A hot container: its owner updates it in place. */
export class OutstandingTable {
  readonly #records = new Map<BackendName, OutstandingRecord>();
  readonly #open = new Map<AttemptId, OpenAttempt>();

  /** Notes that an attempt is handed to a backend. A repeat of an open attempt id is ignored. */
  started(attempt: StartedAttempt): void {
    if (this.#open.has(attempt.attempt)) {
      return;
    }
    this.#open.set(attempt.attempt, { backend: attempt.backend });
    this.#getOrCreateRecord(attempt.backend).start(attempt.at, attempt.promptTokens);
  }

  /** Notes the end of an attempt, however it went. Unknown ids are ignored. */
  ended(attempt: AttemptId, at: MonotonicMs): void {
    const open = this.#open.get(attempt);
    if (open === undefined) {
      return;
    }
    this.#open.delete(attempt);
    this.#getOrCreateRecord(open.backend).end(at);
  }

  /** The record of a backend, or undefined when nothing was ever sent to it. */
  of(backend: BackendName): OutstandingRecord | undefined {
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

  /** Forgets backends that are gone and have nothing in flight. */
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
