/** Past load samples of an engine, from which delayed load reports are taken. */
import type { EngineLoad } from '../../core/registry/backend.js';

/** A load without its age. */
export type LoadSample = Omit<EngineLoad, 'ageMs'>;

interface TimedSample {
  readonly at: number;
  readonly sample: LoadSample;
}

/** Samples kept per lag; bounds the memory. A faster change is reported up to lag/64 late. */
const SAMPLES_PER_LAG = 64;

/** Keeps load samples for the last `lagMs`. */
export class LoadHistory {
  readonly #lagMs: number;
  /** Oldest first; all but the last are at least `lagMs / SAMPLES_PER_LAG` apart. */
  readonly #samples: TimedSample[];

  constructor(lagMs: number, startedAt: number, initial: LoadSample) {
    this.#lagMs = lagMs;
    this.#samples = [{ at: startedAt, sample: initial }];
  }

  /** Records the load from time `at` on. */
  record(at: number, sample: LoadSample): void {
    const beforeLast = this.#samples.at(-2);
    const tooDense = beforeLast !== undefined && at - beforeLast.at < this.#lagMs / SAMPLES_PER_LAG;
    if (tooDense || this.#samples.at(-1)?.at === at) this.#samples.pop();
    this.#samples.push({ at, sample });
    this.#forgetBefore(at - this.#lagMs);
  }

  /** The load at `now - lagMs`, or the first sample if that one is later. */
  read(now: number): EngineLoad {
    const asOf = now - this.#lagMs;
    const index = this.#samples.findLastIndex((entry) => entry.at <= asOf);
    const entry = this.#samples[Math.max(index, 0)];
    if (entry === undefined) throw new Error('a load history always holds a sample');
    return { ageMs: now - Math.max(asOf, entry.at), ...entry.sample };
  }

  /** Keeps one sample older than `asOf`, because it is valid until the next one. */
  #forgetBefore(asOf: number): void {
    for (;;) {
      const second = this.#samples[1];
      if (second === undefined || second.at > asOf) return;
      this.#samples.shift();
    }
  }
}
