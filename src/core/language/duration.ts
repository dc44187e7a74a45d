/**
 * Durations as operators write them: a number and a unit, for example `500ms`, `30s` or `2h`.
 */
import type { Milliseconds } from '../common/time.js';

const MILLISECONDS_BY_UNIT = { h: 3_600_000, m: 60_000, s: 1_000, ms: 1 } as const;

/** A unit of a duration. */
export type DurationUnit = keyof typeof MILLISECONDS_BY_UNIT;

/** Parses a text that is one duration; null for other texts and for zero, which is never a useful time to wait. */
export function parseDuration(text: string): Milliseconds | null {
  const match = /^(\d+(?:\.\d+)?)(ms|s|m|h)$/.exec(text);
  const milliseconds =
    match === null ? 0 : durationToMilliseconds(Number(match[1]), match[2] as DurationUnit);
  return milliseconds > 0 ? milliseconds : null;
}

/** Converts an amount in a unit to milliseconds; the result may be fractional. */
export function durationToMilliseconds(amount: number, unit: DurationUnit): Milliseconds {
  return amount * MILLISECONDS_BY_UNIT[unit];
}

/** Formats a duration in the largest unit that represents it without a fraction. */
export function formatDuration(milliseconds: Milliseconds): string {
  for (const [unit, factor] of Object.entries(MILLISECONDS_BY_UNIT)) {
    if (milliseconds % factor === 0) {
      return `${milliseconds / factor}${unit}`;
    }
  }
  return `${milliseconds}ms`;
}
