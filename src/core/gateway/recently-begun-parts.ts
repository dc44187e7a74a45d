/**
 * When requests with each part of a prompt last began to be answered at this daemon. A part that crashes each server which
 * begins to write on it is never among them, so what is here is not to blame for crashes.
 */
import { PART_EVIDENCE_MS } from './crash-evidence.js';

/** Minutes of one daemon's traffic; about one megabyte. */
const MAX_PARTS = 8_192;

export class RecentlyBegunParts {
  /** By subject, in the order of the last begin. */
  readonly #beganMs = new Map<string, number>();

  add(subject: string, nowMs: number): void {
    this.#beganMs.delete(subject);
    this.#beganMs.set(subject, nowMs);
    if (this.#beganMs.size <= MAX_PARTS) return;
    for (const oldest of this.#beganMs.keys()) {
      this.#beganMs.delete(oldest);
      return;
    }
  }

  has(subject: string, nowMs: number): boolean {
    const beganMs = this.#beganMs.get(subject);
    return beganMs !== undefined && nowMs - beganMs < PART_EVIDENCE_MS;
  }
}
