/**
 * Judges whether callers of daemons that are cut off from all servers are served nearly as often as those of the others
 * while the cut lasts.
 */
import type { CallRecord, CutRecord, RunRecord } from './record.js';

/** Callers of cut-off daemons are served at least this share as often as the others. */
const MIN_RELATIVE_SHARE = 2 / 3;
/** First tries that may fail at cut-off daemons: this number, and this share of all. */
const ALLOWED_FAILURES = 10;
const ALLOWED_FAILURE_SHARE = 1 / 50;

/** Whether a daemon was running and in contact with the store during a span, and had been for long enough. */
export type IsInTouch = (daemon: string, fromMs: number, toMs: number) => boolean;

/** Descriptions of cuts in which cut-off daemons served too few. */
export function unservedCuts(
  calls: readonly CallRecord[],
  run: RunRecord,
  isInTouch: IsInTouch,
): readonly string[] {
  return run.cuts.flatMap((cut) => {
    const tries = calls.filter((call) => isJudged(call, cut, run, isInTouch));
    const atCutOff = tries.filter(({ daemon }) => cut.daemons.has(daemon));
    const atOthers = tries.filter(({ daemon }) => !cut.daemons.has(daemon));
    const served = atCutOff.filter(isServed).length;
    const servedAtOthers = atOthers.filter(isServed).length;
    const failed = atCutOff.length - served;
    const isEnough =
      served * atOthers.length >= MIN_RELATIVE_SHARE * servedAtOthers * atCutOff.length;
    const isTolerated = failed <= ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * tries.length;
    if (atOthers.length === 0 || isEnough || isTolerated) return [];
    return [
      `cut off from ${Math.round(cut.fromMs)} to ${Math.round(cut.toMs)}: served ${served} of ${atCutOff.length} first tries, the others ${servedAtOthers} of ${atOthers.length}`,
    ];
  });
}

function isJudged(
  { daemon, isRetry, sentMs, endedMs, end }: CallRecord,
  { fromMs, toMs }: CutRecord,
  run: RunRecord,
  isInTouch: IsInTouch,
): boolean {
  const isInCut = sentMs >= fromMs + run.bounds.contactMs && sentMs <= toMs;
  const hasLeft = end?.kind === 'left' && end.isEarly;
  return isInCut && !isRetry && !hasLeft && isInTouch(daemon, sentMs, endedMs ?? sentMs);
}

/** Whether a caller got a complete success. */
export function isServed({ end }: CallRecord): boolean {
  return end?.kind === 'answered' && end.status === 200 && end.isComplete;
}
