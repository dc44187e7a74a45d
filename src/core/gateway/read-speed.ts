/**
 * How fast engines read prompts, learnt from the prompts they read for this daemon. Engines that
 * generate read at a part of the pace of those that only read.
 */

const INITIAL_TOKENS_PER_MS = 45;
const SLOWEST_TOKENS_PER_MS = 1;
const FASTEST_TOKENS_PER_MS = 2_000;
/** Shorter reads say more about overhead than about pace. */
const LEAST_TOKENS = 1_500;
const OVERHEAD_MS = 12;
/** The fastest reads show the pace; slower ones were queued, so they count little. */
const FASTER_WEIGHT = 0.3;
const SLOWER_WEIGHT = 0.03;
/** Pace of an engine that also generates, against one that only reads. */
const DECODE_PACE = 0.5;

/** The pace of one service's engines. */
export class ReadSpeed {
  #tokensPerMs = INITIAL_TOKENS_PER_MS;

  learn(tokens: number, elapsedMs: number): void {
    if (tokens < LEAST_TOKENS || elapsedMs <= OVERHEAD_MS) return;
    const seen = tokens / (elapsedMs - OVERHEAD_MS);
    const bounded = Math.min(FASTEST_TOKENS_PER_MS, Math.max(SLOWEST_TOKENS_PER_MS, seen));
    const weight = bounded > this.#tokensPerMs ? FASTER_WEIGHT : SLOWER_WEIGHT;
    this.#tokensPerMs += weight * (bounded - this.#tokensPerMs);
  }

  /** How long a prefill engine takes to answer. */
  prefillMs(tokens: number): number {
    return OVERHEAD_MS + this.prefillBusyMs(tokens);
  }

  /** How long a decode engine takes to its first token. */
  decodeMs(tokens: number): number {
    return OVERHEAD_MS + this.decodeBusyMs(tokens);
  }

  /** How long a prefill engine is taken up. */
  prefillBusyMs(tokens: number): number {
    return tokens / this.#tokensPerMs;
  }

  /** How long a decode engine is taken up. */
  decodeBusyMs(tokens: number): number {
    return tokens / (this.#tokensPerMs * DECODE_PACE);
  }
}
