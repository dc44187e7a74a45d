/** Judges whether callers are served while most new connections go to one daemon. */
import { type IsInTouch, isServed } from './cut-off-judge.js';
import type { CallRecord, RunRecord, SkewRecord } from './record.js';

const MIN_COMPARED = 20;
const MIN_RELATIVE_SHARE = 0.75;
/** The seconds before, with which the time of the skew is compared. */
const COMPARED_MS = 5_000;

/** Descriptions of skews in which first tries that a daemon had read were served too seldom. */
export function unservedSkews(
  calls: readonly CallRecord[],
  run: RunRecord,
  isInTouch: IsInTouch,
): readonly string[] {
  const tries = calls.filter((call) => isJudged(call, isInTouch));
  return run.skews.flatMap((skew) => {
    const { fromMs, toMs } = skew;
    const during = triesWithin(tries, fromMs + run.bounds.contactMs, toMs);
    const before = triesWithin(tries, fromMs - COMPARED_MS, fromMs);
    if (during.length < MIN_COMPARED || before.length < MIN_COMPARED) return [];
    const [shareDuring, shareBefore] = [shareServed(during), shareServed(before)];
    if (shareDuring >= MIN_RELATIVE_SHARE * shareBefore) return [];
    return [describe(skew, during.length, shareDuring, shareBefore)];
  });
}

function describe(
  { daemon, fromMs, toMs }: SkewRecord,
  tries: number,
  during: number,
  before: number,
): string {
  const span = `${Math.round(fromMs)} to ${Math.round(toMs)}`;
  const shares = `${Math.round(100 * during)}% of ${tries} first tries served, ${Math.round(100 * before)}% before`;
  return `most new connections went to ${daemon} from ${span}: ${shares}`;
}

function triesWithin(tries: readonly CallRecord[], fromMs: number, toMs: number) {
  return tries.filter(({ sentMs }) => sentMs >= fromMs && sentMs < toMs);
}

/** First tries that a daemon has read; those that were refused a connection or closed unread may be tried again. */
function isJudged({ daemon, isRetry, end, sentMs, endedMs }: CallRecord, isInTouch: IsInTouch) {
  if (isRetry || end === undefined || end.kind === 'not-connected' || end.kind === 'closed') {
    return false;
  }
  const hasLeftEarly = end.kind === 'left' && end.isEarly;
  return !hasLeftEarly && isInTouch(daemon, sentMs, endedMs ?? sentMs);
}

function shareServed(tries: readonly CallRecord[]): number {
  return tries.filter(isServed).length / tries.length;
}
