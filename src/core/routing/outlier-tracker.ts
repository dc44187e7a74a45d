/**
 * Ejects backends whose attempts fail in a row, for a time that doubles with each ejection. Ejection
 * is a guess from this daemon's own attempts, so it has a floor: see `withinEjectionFloor`.
 */
import type { BackendName } from '../common/identifiers.js';
import type { Milliseconds, MonotonicMs } from '../common/time.js';

/** Failures in a row that eject a backend. */
const FAILURES_TO_EJECT = 3;
/** The first ejection's length. */
const FIRST_EJECTION_MS: Milliseconds = 2_000;
/** The longest ejection. */
const MAX_EJECTION_MS: Milliseconds = 60_000;
/** The most of a set of candidates that may be ejected at once. */
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
  /** Backends ejected at some time and not cleared since, by the time of their ejection. */
  readonly #ejected = new Map<BackendName, OutlierState>();

  /** Notes an attempt that went well. Ends the backend's ejection and its failure count. */
  succeeded(backend: BackendName): void {
    this.#states.delete(backend);
    this.#ejected.delete(backend);
  }

  /**
   * Notes an attempt that failed by the backend's fault: not sent, broken, or refused although the
   * view said it would be taken. Returns true when this ejects the backend.
   */
  failed(backend: BackendName, now: MonotonicMs): boolean {
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

  /** Whether a backend's ejection lasts, leaving the floor aside. */
  isEjected(backend: BackendName, now: MonotonicMs): boolean {
    const state = this.#ejected.get(backend);
    return state !== undefined && now < state.ejectedUntil;
  }

  /** Whether any backend was ejected and has not been cleared since. */
  get hasEjections(): boolean {
    return this.#ejected.size > 0;
  }

  /**
   * The ejected ones among `size` candidates that routing honours: the earliest ejected, up to the
   * floor's share. The rest stay in use, for when most seem bad the guess itself is in doubt.
   */
  honoured(
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

  /** Forgets backends that are gone. */
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
