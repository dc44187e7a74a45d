/** Judges what is sent, and what sound requests keep, while a part of prompts crashes each server that runs it. */
import type { IsInTouch } from './cut-off-judge.js';
import type { CallRecord, RunRecord } from './record.js';

/** Servers that one part may crash, and the requests with it that may reach servers after the contact time. */
const MAX_CRASHES = 5;
const MAX_SENT_AFTER_CRASHES = 3;
const MIN_COMPARED = 20;
const MIN_SHARE = 0.5;

/** A crashing part, with the ends of servers under it and the requests with it. */
interface PartHistory {
  readonly part: string;
  readonly calls: readonly CallRecord[];
  /** When servers ended, in order. */
  readonly endsMs: readonly number[];
}

function historiesOf(calls: readonly CallRecord[], endMs: number): readonly PartHistory[] {
  const byPart = new Map<string, CallRecord[]>();
  for (const call of calls) {
    if (call.crashingPart === undefined) continue;
    const known = byPart.get(call.crashingPart.id);
    if (known === undefined) byPart.set(call.crashingPart.id, [call]);
    else known.push(call);
  }
  return [...byPart].map(([part, withPart]) => {
    const arrivals = withPart.flatMap((call) => call.arrivals);
    const endsMs = arrivals
      .filter(({ hasCrashedServer }) => hasCrashedServer)
      .map((arrival) => arrival.endedMs ?? endMs)
      .sort((left, right) => left - right);
    return { part, calls: withPart, endsMs };
  });
}

/** Number of servers that ended under each crashing part. */
export function crashesByPart(calls: readonly CallRecord[], endMs: number): readonly number[] {
  return historiesOf(calls, endMs).map(({ endsMs }) => endsMs.length);
}

/** Parts whose requests went on reaching servers after `MAX_CRASHES` of them had ended. */
export function partsSentOn(
  calls: readonly CallRecord[],
  run: RunRecord,
  isInTouch: IsInTouch,
): readonly { readonly atMs: number; readonly detail: string }[] {
  return historiesOf(calls, run.endMs).flatMap(({ part, calls: withPart, endsMs }) => {
    const atMs = endsMs[MAX_CRASHES - 1];
    if (atMs === undefined) return [];
    const late = withPart
      .flatMap((call) => call.arrivals.map((arrival) => ({ ...arrival, daemon: call.daemon })))
      .filter(
        (arrival) =>
          arrival.atMs > atMs + run.bounds.contactMs &&
          isInTouch(arrival.daemon, arrival.atMs, arrival.atMs),
      );
    if (late.length <= MAX_SENT_AFTER_CRASHES) return [];
    const detail = `requests with the part ${part} were sent ${late.length} times more after ${MAX_CRASHES} servers had ended under it; ${endsMs.length} ended`;
    return [{ atMs, detail }];
  });
}

/**
 * Sound streams with the same first part that begin at their first attempt less than half as often as before the first
 * end, from twice the contact time after the fifth end.
 */
export function soundRequestsLost(
  calls: readonly CallRecord[],
  run: RunRecord,
  isInTouch: IsInTouch,
): readonly string[] {
  const sound = calls.filter(isSoundFirstStream);
  const firstEndMs = Math.min(
    ...historiesOf(calls, run.endMs).map(({ endsMs }) => endsMs[0] ?? Number.POSITIVE_INFINITY),
  );
  return historiesOf(calls, run.endMs).flatMap(({ part, calls: withPart, endsMs }) => {
    const lastEndMs = endsMs[Math.min(endsMs.length, MAX_CRASHES) - 1];
    if (lastEndMs === undefined) return [];
    const fromMs = lastEndMs + 2 * run.bounds.contactMs;
    const toMs = Math.max(...withPart.map(({ sentMs }) => sentMs));
    const inTouch = ({ daemon, sentMs }: CallRecord) => isInTouch(daemon, sentMs, sentMs);
    const before = sound.filter((call) => call.deadlineMs < firstEndMs && inTouch(call));
    const after = sound.filter(
      (call) =>
        call.sentMs > fromMs && call.sentMs < toMs && call.deadlineMs < run.endMs && inTouch(call),
    );
    if (before.length < MIN_COMPARED || after.length < MIN_COMPARED) return [];
    const [shareBefore, shareAfter] = [shareBegun(before), shareBegun(after)];
    if (shareAfter >= MIN_SHARE * shareBefore) return [];
    return [
      `beside requests with the part ${part}, ${percent(shareAfter)} of ${after.length} sound streams began, ${percent(shareBefore)} of ${before.length} before`,
    ];
  });
}

function isSoundFirstStream(call: CallRecord): boolean {
  const isStream = call.requestClass.kind === 'streaming';
  return isStream && call.crashingPart === undefined && !call.isRetry && call.resumes === undefined;
}

function shareBegun(calls: readonly CallRecord[]): number {
  const begun = calls.filter(
    ({ end }) => end?.kind === 'answered' && end.status === 200 && end.body.includes('\n\n'),
  );
  return begun.length / calls.length;
}

function percent(share: number): string {
  return `${Math.round(100 * share)}%`;
}
