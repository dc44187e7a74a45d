/**
 * Judges streams: their pieces, the software versions that their events come from over all attempts of a caller, and the
 * share of those that go on when callers take them up.
 */
import type { CallRecord, RunRecord, ServingSpan } from './record.js';
import { eventText, withoutPadding } from './response-bodies.js';

/** A few streams may be caught by a change in the moment at which it happens. */
const MAX_STREAMS_OF_TWO_VERSIONS = 2;
/** Fewer resumptions than this say little of the share that goes on. */
const MIN_RESUMPTIONS = 12;
/** The share of resumptions that go on, relative to that of new streams that begin. */
const MIN_SHARE_OF_NEW = 0.5;
/** Servers of the version of a stream that serve while its caller takes it up. */
const MIN_SERVERS = 2;
const MAX_CASES_SHOWN = 5;
/** Stands for the software version of an event where versions are not compared. */
const ANY_VERSION = 'any';
/** The software version in the line of an event's data. */
const VERSION = /(?<=^data: \S+ \S+ )\S+$/gm;
const EVENT = /id: (\d+)\ndata: \S+ \d+\/\d+ (\S+)\n\n/g;

/** A stream as far as its caller has received it. */
export interface ReceivedEvents {
  readonly lastEventId: number;
  readonly softwareVersions: ReadonlySet<string>;
}

/** The complete events in a body; undefined if there are none. */
export function receivedEvents(body: string): ReceivedEvents | undefined {
  const events = [...body.matchAll(EVENT)];
  const last = events.at(-1);
  if (last === undefined) return undefined;
  const softwareVersions = new Set(events.map(([, , version = '']) => version));
  return { lastEventId: Number(last[1]), softwareVersions };
}

/** Whether the body of a stream that ended as complete has exactly the events that its caller lacked. */
export function hasAllEvents(call: CallRecord, body: string): boolean {
  let expected = '';
  for (let event = firstEventOf(call); event <= call.outputTokens; event += 1) {
    expected += eventText(call.id, event, call.outputTokens, ANY_VERSION);
  }
  return withoutPadding(body).replaceAll(VERSION, ANY_VERSION) === expected;
}

function firstEventOf({ resumes }: CallRecord): number {
  return (resumes?.lastEventId ?? 0) + 1;
}

/** A fault of streams: how many, and where. */
export interface StreamFault {
  readonly atMs: number;
  readonly detail: string;
}

/** More streams than a few hold events of servers of two software versions. */
export function versionFaults(calls: readonly CallRecord[]): readonly StreamFault[] {
  const mixed = calls.filter((call) => versionsOf(call).size > 1);
  const streams = new Set(mixed.map(streamIdOf));
  if (streams.size <= MAX_STREAMS_OF_TWO_VERSIONS) return [];
  const cases = mixed.slice(0, MAX_CASES_SHOWN).map((call) => {
    const of = call.resumes === undefined ? '' : ` of ${call.resumes.streamId}`;
    return `${call.id}${of} at ${call.daemon}: ${[...versionsOf(call)].join(' and ')}`;
  });
  const detail = `${streams.size} streams hold events of two software versions: ${cases.join('; ')}`;
  return [{ atMs: mixed[0]?.sentMs ?? 0, detail }];
}

function streamIdOf({ id, resumes }: CallRecord): string {
  return resumes?.streamId ?? id;
}

/** The software versions of the events that a caller has received, up to this attempt. */
function versionsOf(call: CallRecord): ReadonlySet<string> {
  const own = call.end?.kind === 'answered' ? receivedEvents(call.end.body) : undefined;
  const earlier = call.resumes === undefined ? [] : [call.resumes.softwareVersion];
  return new Set([...earlier, ...(own?.softwareVersions ?? [])]);
}

/**
 * Of the streams that callers take up while two servers of their version serve, far fewer go on than new ones begin.
 * @param isInTouch whether the daemon of a call was undisturbed
 */
export function resumptionFaults(
  calls: readonly CallRecord[],
  run: RunRecord,
  isInTouch: (call: CallRecord) => boolean,
): readonly StreamFault[] {
  const streams = calls.filter((call) => isJudged(call) && isInTouch(call));
  const begun = streams.filter(({ resumes }) => resumes === undefined);
  const resumed = streams.filter((call) => hasServers(call, run.serving));
  if (resumed.length < MIN_RESUMPTIONS || begun.length === 0) return [];
  const shareOfNew = begun.filter(hasEvents).length / begun.length;
  const lost = resumed.filter((call) => !hasEvents(call));
  const share = 1 - lost.length / resumed.length;
  if (share >= MIN_SHARE_OF_NEW * shareOfNew) return [];
  const cases = lost.slice(0, MAX_CASES_SHOWN).map(({ id, daemon }) => `${id} at ${daemon}`);
  const counts = `${resumed.length - lost.length} of ${resumed.length} streams went on, ${shareOfNew.toFixed(2)} of new ones began`;
  return [{ atMs: lost[0]?.sentMs ?? 0, detail: `${counts}: ${cases.join(', ')}` }];
}

/** A call of a stream that was sent, and that its caller did not leave. */
function isJudged({ requestClass, end }: CallRecord): boolean {
  const isSent = end !== undefined && end.kind !== 'not-connected' && end.kind !== 'left';
  return requestClass.kind === 'streaming' && isSent;
}

function hasEvents({ end }: CallRecord): boolean {
  if (end?.kind !== 'answered' || end.status !== 200) return false;
  return end.isComplete || receivedEvents(end.body) !== undefined;
}

/** Whether enough servers of the version of a stream served from its resumption until its end. */
function hasServers(
  { resumes, sentMs, endedMs = sentMs }: CallRecord,
  serving: readonly ServingSpan[],
): boolean {
  if (resumes === undefined) return false;
  const able = serving.filter(
    ({ softwareVersion, fromMs, toMs }) =>
      softwareVersion === resumes.softwareVersion && fromMs <= sentMs && toMs >= endedMs,
  );
  return able.length >= MIN_SERVERS;
}
