/**
 * What other daemons have sent since they told of their work: by the rate at which the fleet is asked, over the time
 * that a change takes until it shows here.
 */
import { MAX_DIRECT_DAEMONS } from './peer-roster.js';
import type { UnseenWork } from './spread-choice.js';
import type { DemandSums } from './stage-demand.js';

/** A change is told within this time: a daemon collects its changes, and a relay what its zone tells. */
export const ADVERTISE_DELAY_MS = 100;

/** What is known of a fleet's work. */
export interface UnseenWorkInput {
  /** Daemons of the last list, this one counted; undefined until one was read. */
  readonly daemons: number | undefined;
  /** Daemons heard of lately by themselves. */
  readonly reportingDaemons: number;
  /** Age of what is known of all daemons; undefined while nothing is. */
  readonly knownAgeMs: number | undefined;
  readonly own: DemandSums;
  readonly all: DemandSums;
  /** The time over which both are counted. */
  readonly spanMs: number;
  /** Since the fleet began to be asked for anything; undefined while nobody tells that it is. */
  readonly busyForMs: number | undefined;
}

/** The work that does not show yet; undefined in a fleet whose daemons tell each other at once. */
export function unseenWork(input: UnseenWorkInput): UnseenWork | undefined {
  const { daemons, reportingDaemons, knownAgeMs, own, all, spanMs, busyForMs } = input;
  if (daemons === undefined || daemons <= MAX_DIRECT_DAEMONS) return undefined;
  if (knownAgeMs === undefined) {
    return { kind: 'by-daemons', daemons: Math.max(0, daemons - 1 - reportingDaemons) };
  }
  if (busyForMs === undefined) return { kind: 'by-daemons', daemons: daemons - 1 };
  const unseenMs = knownAgeMs + ADVERTISE_DELAY_MS;
  const toldSpanMs = Math.min(spanMs, Math.max(ADVERTISE_DELAY_MS, busyForMs));
  const share = unseenMs / toldSpanMs;
  const ofOthers = (total: number, ownPart: number) => Math.max(0, total - ownPart) * share;
  return {
    kind: 'by-rate',
    prefillMs: ofOthers(all.prefillMs, own.prefillMs),
    prompts: ofOthers(all.requests, own.requests),
    shortPrompts: ofOthers(all.shortRequests, own.shortRequests),
  };
}
