/**
 * Streams that are late when they pause. An engine that reads a prompt does so between the tokens of its streams, so
 * each token comes later; a stream that is long enough to pause at all then pauses for too long. So a few engines that
 * generate are kept for such streams: others read no prompt there while there are other engines. Which ones these are
 * follows from the engines' ids, the same for all daemons that list the same engines.
 */
import type { RequestDescription } from './description.js';
import { rankByRendezvous } from './rendezvous.js';
import type { ServerRecord } from './server-directory.js';

/** A stream that is expected to take this part of the longest pause may come to pause so long beside a reading. */
const PACED_GAP_SHARE = 0.5;
/** Runs come unevenly: slots that are fuller than this on the mean are all taken at times. */
const FULL_SHARE = 0.7;
/** The loss of one is borne. */
const SPARE_ENGINES = 1;
/** Never more than this part of those that generate, as the others read prompts beside. */
const MOST_KEPT_SHARE = 1 / 3;
const RANK_KEY = 'paced streams';

/** What tells whether a stream is paced. */
export interface PacedInput {
  readonly description: Pick<RequestDescription, 'maxOutputTokens'>;
  /** A stream with a longer pause is late; undefined where no pause makes it late. */
  readonly targetGapMs: number | undefined;
  /** Time in a slot for each token, as it was seen lately. */
  readonly tokenMs: number;
}

/** Whether a prompt read beside a stream may make it late. */
export function isPaced({ description, targetGapMs, tokenMs }: PacedInput): boolean {
  if (targetGapMs === undefined) return false;
  return description.maxOutputTokens * tokenMs >= PACED_GAP_SHARE * targetGapMs;
}

/**
 * The engines that are kept for paced streams.
 * @param generating the engines that generate
 * @param concurrent paced streams that run at a time
 */
export function enginesForPaced(
  generating: readonly ServerRecord[],
  concurrent: number,
): ReadonlySet<string> {
  if (concurrent <= 0 || generating.length === 0) return new Set();
  const slots = Math.max(1, ...generating.map((engine) => engine.slots));
  const needed = Math.ceil(concurrent / (FULL_SHARE * slots)) + SPARE_ENGINES;
  const count = Math.min(needed, Math.floor(generating.length * MOST_KEPT_SHARE));
  const ids = generating.map(({ id }) => id);
  return new Set(rankByRendezvous(RANK_KEY, ids).slice(0, count));
}
