/**
 * Which ends of servers count against a request or a part of prompts, and how many quarantine it.
 *
 * An end breaks off a whole batch, so each request of the batch and each part of their prompts is a suspect. What crashes
 * servers is what independent ends have in common.
 */
import { isPartSubject } from './crash-subjects.js';

/** The end of a boot of a server while a request ran there. */
export interface KnownCrash {
  readonly serverId: string;
  readonly startedMs: number;
  readonly endedMs: number;
  /** Which request ran; undefined where the subject itself is a request. */
  readonly request?: string | undefined;
}

/**
 * Crashes that quarantine a request; each of the runs must have begun after the one before had ended its server. A single
 * crash is weak evidence, as a whole batch breaks off with its server and at most one request of it is at fault. With
 * three, each such request would cost a third batch. The price of two: in two storms in which a quarter and two fifths of
 * 16 servers ended nine times in 30 s, 4 and 7 of some 5,200 harmless requests were quarantined, and 2 and 6 retries of
 * their callers were refused.
 */
const CRASHES_TO_QUARANTINE_REQUEST = 2;
/** One more than for a request, as a quarantined part has all requests refused that hold it. */
const CRASHES_TO_QUARANTINE_PART = 3;
/** Servers that end closer together may have ended for one reason, as those of a rack do. */
export const COMMON_CAUSE_MS = 250;
/**
 * Older crashes do not count against a part, as those under which its requests ran by chance would add up. Nor do any, if
 * a server has begun to write on it within this time: a part that all requests share must not be refused because every
 * server of a service happens to end.
 */
export const PART_EVIDENCE_MS = 600_000;
/** By the time that a request has more, there were some that did not overlap. */
const MAX_CRASHES_PER_RECORD = 4;

/** Whether these crashes quarantine the subject. */
export function reachesQuarantine(subject: string, crashes: readonly KnownCrash[]): boolean {
  if (!isPartSubject(subject)) {
    return independentCrashes(crashes, isDisjoint).length >= CRASHES_TO_QUARANTINE_REQUEST;
  }
  return countingAgainstPart(crashes).length >= CRASHES_TO_QUARANTINE_PART;
}

/** The crashes to keep of a subject, at most `MAX_CRASHES_PER_RECORD`. */
export function crashesToKeep(
  subject: string,
  crashes: readonly KnownCrash[],
): readonly KnownCrash[] {
  if (crashes.length <= MAX_CRASHES_PER_RECORD) return crashes;
  const newestFirst = [...crashes].sort((left, right) => right.endedMs - left.endedMs);
  // The newest crashes of a frequent part may all be close together; those that count must not be lost.
  const counting = isPartSubject(subject) ? countingAgainstPart(crashes) : [];
  const others = newestFirst.filter((crash) => !counting.includes(crash));
  return [...counting, ...others].slice(0, MAX_CRASHES_PER_RECORD);
}

/** Independent crashes under different requests: retries of one request show nothing of its parts. */
function countingAgainstPart(crashes: readonly KnownCrash[]): readonly KnownCrash[] {
  const newestMs = Math.max(...crashes.map(({ endedMs }) => endedMs));
  const recent = crashes.filter(({ endedMs }) => newestMs - endedMs <= PART_EVIDENCE_MS);
  return independentCrashes(
    recent,
    (crash, counted) =>
      counted.every(({ request }) => request !== crash.request) &&
      counted.slice(-1).every((last) => isDisjoint(crash, [last]) || isApart(crash, last)),
  );
}

/** The crashes, by the time of their ends, each of which is independent of the ones taken before it. */
function independentCrashes(
  crashes: readonly KnownCrash[],
  isIndependent: (crash: KnownCrash, counted: readonly KnownCrash[]) => boolean,
): readonly KnownCrash[] {
  const counted: KnownCrash[] = [];
  for (const crash of [...crashes].sort((left, right) => left.endedMs - right.endedMs)) {
    if (isIndependent(crash, counted)) counted.push(crash);
  }
  return counted;
}

/**
 * Whether a run began after the crashes before it. Servers that end together, as those of a rack do, end under all copies
 * of a popular request; a request that crashes servers also does so one after another.
 */
function isDisjoint(crash: KnownCrash, counted: readonly KnownCrash[]): boolean {
  return counted.every(({ endedMs }) => crash.startedMs >= endedMs);
}

function isApart(crash: KnownCrash, earlier: KnownCrash): boolean {
  return crash.endedMs - earlier.endedMs >= COMMON_CAUSE_MS;
}
