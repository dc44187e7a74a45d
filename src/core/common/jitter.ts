/**
 * Jitter and exponential back-off, computed from the entropy that the shell draws for each step.
 */
import type { Milliseconds } from './time.js';

const ENTROPY_RANGE = 2 ** 32;

/** Maps an unsigned 32-bit number to a fraction in [0, 1). */
function fractionOf(entropy: number): number {
  return (entropy >>> 0) / ENTROPY_RANGE;
}

/** A span drawn evenly between two bounds. */
export function jittered(least: Milliseconds, most: Milliseconds, entropy: number): Milliseconds {
  return least + (most - least) * fractionOf(entropy);
}

/** Bounds of an exponential back-off. */
export interface BackoffBounds {
  readonly firstMs: Milliseconds;
  readonly maxMs: Milliseconds;
}

/** The wait before the next try: between half and all of a span that doubles with each failure. */
export function backoff(bounds: BackoffBounds, failures: number, entropy: number): Milliseconds {
  const doubled = bounds.firstMs * 2 ** Math.max(0, failures - 1);
  const span = Math.min(bounds.maxMs, doubled);
  return jittered(span / 2, span, entropy);
}
