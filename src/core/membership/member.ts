/** One daemon as another knows it, and which of two pieces of news about it is the later. */
import type { DaemonName, Incarnation } from '../common/identifiers.js';
import type { MonotonicMs } from '../common/time.js';
import type { MemberStatus, MemberUpdate } from '../peer/index.js';

/** A daemon of the fleet. */
export interface Member extends MemberUpdate {
  /** When this daemon learned of the status, by its own clock. */
  readonly statusSince: MonotonicMs;
  /** The configuration version that the daemon last said is in force on it; null: none known. */
  readonly configurationVersion: number | null;
}

const STATUS_RANK: Readonly<Record<MemberStatus, number>> = {
  alive: 0,
  suspect: 1,
  dead: 2,
  left: 3,
};

/**
 * Whether news supersedes what is known: a later life; within a life its own leave, which is final;
 * then a later refutation; then a worse status. A total order, so that tables converge.
 */
export function supersedes(news: MemberUpdate, known: MemberUpdate): boolean {
  if (news.incarnation !== known.incarnation) {
    return news.incarnation > known.incarnation;
  }
  if ((news.status === 'left') !== (known.status === 'left')) {
    return news.status === 'left';
  }
  if (news.refutation !== known.refutation) {
    return news.refutation > known.refutation;
  }
  return STATUS_RANK[news.status] > STATUS_RANK[known.status];
}

/** Whether the member takes part: alive, or suspected but not given up. */
export function isPresent(member: MemberUpdate): boolean {
  return member.status === 'alive' || member.status === 'suspect';
}

/** Whether both speak of the same life of the same daemon. */
export function isSameIncarnation(
  one: { readonly name: DaemonName; readonly incarnation: Incarnation },
  other: { readonly name: DaemonName; readonly incarnation: Incarnation },
): boolean {
  return one.name === other.name && one.incarnation === other.incarnation;
}

/** What is passed on about a member. */
export function toUpdate(member: MemberUpdate): MemberUpdate {
  return {
    name: member.name,
    zone: member.zone,
    endpoint: member.endpoint,
    incarnation: member.incarnation,
    refutation: member.refutation,
    status: member.status,
    suspectedBy: member.suspectedBy,
  };
}
