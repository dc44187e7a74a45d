/**
 * Ejects backends after consecutive failed attempts, for a time that doubles with each ejection.
 * Ejection is inferred from this daemon's own attempts only, so it is limited to a share of the
 * candidates: see `enforcedEjections`.
 */
import type { BackendName } from '../common/identifiers.js';
import type { Milliseconds, MonotonicMs } from '../common/time.js';

/** Number of consecutive failures after which a backend is ejected. */
const FAILURES_TO_EJECT = 3;
/** Duration of the first ejection. */
const FIRST_EJECTION_MS: Milliseconds = 2_000;
/** Maximum duration of an ejection. */
const MAX_EJECTION_MS: Milliseconds = 60_000;
/** Maximum share of a set of candidates that may be ejected at once. */
const MAX_EJECTED_SHARE = 0.5;

interface OutlierState {
  failuresInRow: number;
  ejections: number;
  ejectedAt: MonotonicMs;
  ejectedUntil: MonotonicMs;
}

/** Failure counts and ejections by backend. Updated in place by its owner. */
export class OutlierTracker {
  readonly #states = new Map<BackendName, OutlierState>();
  /** Backends ejected without a success since, ordered by their latest ejection. */
  readonly #ejected = new Map<BackendName, OutlierState>();

  /** Records a successful attempt. Ends the backend's ejection and resets its failure count. */
  recordSuccess(backend: BackendName): void {
    this.#states.delete(backend);
    this.#ejected.delete(backend);
  }

  /**
   * Records an attempt that failed through the backend's fault: not sent, broken, or refused
   * although the backend's view showed that it accepts requests. Returns true when the backend is
   * ejected.
   */
  recordFailure(backend: BackendName, now: MonotonicMs): boolean {
    const state = this.#getOrCreateState(backend);
    state.failuresInRow += 1;
    if (state.failuresInRow < FAILURES_TO_EJECT || now < state.ejectedUntil) {
      return false;
    }
    const durationMs = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** state.ejections);
    state.ejections += 1;
    state.ejectedAt = now;
    state.ejectedUntil = now + durationMs;
    this.#ejected.delete(backend);
    this.#ejected.set(backend, state);
    return true;
  }

  /** Whether a backend's ejection has not expired, regardless of `MAX_EJECTED_SHARE`. */
  isEjected(backend: BackendName, now: MonotonicMs): boolean {
    const state = this.#ejected.get(backend);
    return state !== undefined && now < state.ejectedUntil;
  }

  /** Whether any known backend was ejected and has had no success since. */
  get hasEjections(): boolean {
    return this.#ejected.size > 0;
  }

  /**
   * The ejections that routing enforces among `size` candidates: the earliest ones, up to
   * `MAX_EJECTED_SHARE`. The other ejected backends stay in use, because the inference is doubtful
   * when most backends seem to fail.
   */
  enforcedEjections(
    size: number,
    isCandidate: (backend: BackendName) => boolean,
    now: MonotonicMs,
  ): ReadonlySet<BackendName> {
    const allowed = Math.floor(size * MAX_EJECTED_SHARE);
    const chosen = new Set<BackendName>();
    for (const [backend, state] of this.#ejected) {
      if (chosen.size >= allowed) {
        break;
      }
      if (now < state.ejectedUntil && isCandidate(backend)) {
        chosen.add(backend);
      }
    }
    return chosen;
  }

  /** Removes the state of departed backends. */
  retain(isKnown: (backend: BackendName) => boolean): void {
    for (const backend of this.#states.keys()) {
      if (!isKnown(backend)) {
        this.#states.delete(backend);
        this.#ejected.delete(backend);
      }
    }
  }

  #getOrCreateState(backend: BackendName): OutlierState {
    const existing = this.#states.get(backend);
    if (existing !== undefined) {
      return existing;
    }
    const created: OutlierState = {
      failuresInRow: 0,
      ejections: 0,
      ejectedAt: Number.NEGATIVE_INFINITY,
      ejectedUntil: Number.NEGATIVE_INFINITY,
    };
    this.#states.set(backend, created);
    return created;
  }
}
