/**
 * Estimates the unseen work: what other daemons have sent and not yet reported. It is the request rate of the fleet
 * times the delay until sent work is known to this daemon.
 */
import { MAX_DIRECT_DAEMONS } from './peer-roster.js';
import type { UnseenWork } from './spread-choice.js';
import type { DemandSums } from './stage-demand.js';

/** Delay of a load report: daemons batch their changes, and relays batch the reports of their zone. */
export const ADVERTISE_DELAY_MS = 100;

/** Input to `unseenWork`. */
export interface UnseenWorkInput {
  /** Daemons in the most recent member list, including this one; undefined until a list was read. */
  readonly daemons: number | undefined;
  /** Daemons that recently reported to this one directly. */
  readonly reportingDaemons: number;
  /** Age of the most recent sums over all daemons; undefined before any arrived. */
  readonly knownAgeMs: number | undefined;
  readonly own: DemandSums;
  readonly all: DemandSums;
  /** Time span that both demands cover. */
  readonly spanMs: number;
  /** Time since the fleet began to receive requests; undefined while no daemon reports any. */
  readonly busyForMs: number | undefined;
}

/** The unseen work; undefined in a small fleet, where every daemon reports to all others directly. */
export function unseenWork(input: UnseenWorkInput): UnseenWork | undefined {
  const { daemons, reportingDaemons, knownAgeMs, own, all, spanMs, busyForMs } = input;
  if (daemons === undefined || daemons <= MAX_DIRECT_DAEMONS) return undefined;
  if (knownAgeMs === undefined) {
    return { kind: 'by-daemons', daemons: Math.max(0, daemons - 1 - reportingDaemons) };
  }
  if (busyForMs === undefined) return { kind: 'by-daemons', daemons: daemons - 1 };
  const unseenMs = knownAgeMs + ADVERTISE_DELAY_MS;
  const advertisedSpanMs = Math.min(spanMs, Math.max(ADVERTISE_DELAY_MS, busyForMs));
  const share = unseenMs / advertisedSpanMs;
  const ofOthers = (total: number, ownPart: number) => Math.max(0, total - ownPart) * share;
  return {
    kind: 'by-rate',
    prefillMs: ofOthers(all.prefillMs, own.prefillMs),
    prompts: ofOthers(all.requests, own.requests),
    shortPrompts: ofOthers(all.shortRequests, own.shortRequests),
  };
}
