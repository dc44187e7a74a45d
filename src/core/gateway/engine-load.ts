/**
 * What this daemon expects of one engine's time: the prompt tokens it has waiting there, and how
 * much longer than expected recent prompts took, which shows the work that other daemons sent.
 */

/** How fast a belief about other daemons' work fades. */
const EXCESS_HALF_LIFE_MS = 400;
const EXCESS_WEIGHT = 0.5;
const MOST_EXCESS_MS = 3_000;

/** A prompt being read. */
export interface PendingRead {
  readonly expectedMs: number;
  /** Expected before it is begun, for the work of others that is known. */
  readonly expectedWaitMs: number;
  readonly startedAtMs: number;
}

/** Work at one engine as this daemon sees it. */
export class EngineLoad {
  readonly #pending = new Set<PendingRead>();
  #excessMs = 0;
  #excessAtMs = 0;
  /** Streams of this daemon that run there. */
  running = 0;

  begin(expectedMs: number, nowMs: number, expectedWaitMs = 0): PendingRead {
    const read: PendingRead = { expectedMs, expectedWaitMs, startedAtMs: nowMs };
    this.#pending.add(read);
    return read;
  }

  /** The prompt was read. */
  finish(read: PendingRead, nowMs: number): void {
    this.#pending.delete(read);
    const observedMs = nowMs - read.startedAtMs - read.expectedMs - read.expectedWaitMs;
    const currentMs = this.#excess(nowMs);
    const clippedMs = Math.min(MOST_EXCESS_MS, Math.max(0, observedMs));
    this.#excessMs = currentMs + EXCESS_WEIGHT * (clippedMs - currentMs);
    this.#excessAtMs = nowMs;
  }

  /** The read was given up; nothing is learnt from it. */
  abandon(read: PendingRead): void {
    this.#pending.delete(read);
  }

  /** How long a new prompt waits before it is read, as far as this daemon knows by itself. */
  expectedWaitMs(nowMs: number): number {
    return this.ownPendingMs(nowMs) + this.#excess(nowMs);
  }

  /** What is left of the prompts that this daemon waits for. */
  ownPendingMs(nowMs: number): number {
    let ownMs = 0;
    for (const read of this.#pending) {
      ownMs += Math.max(0.25 * read.expectedMs, read.expectedMs - (nowMs - read.startedAtMs));
    }
    return ownMs;
  }

  #excess(nowMs: number): number {
    return this.#excessMs * 0.5 ** ((nowMs - this.#excessAtMs) / EXCESS_HALF_LIFE_MS);
  }
}
