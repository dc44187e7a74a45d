/** One daemon's entry in the member table, and which of two updates about it is newer. */
import type { DaemonName, Incarnation } from '../common/identifiers.js';
import type { MonotonicMs } from '../common/time.js';
import type { MemberStatus, MemberUpdate } from '../peer/index.js';

/** A daemon of the fleet. */
export interface Member extends MemberUpdate {
  /** When this daemon learned of the status, by this daemon's clock. */
  readonly statusSince: MonotonicMs;
  /** The configuration version that the member last reported as in force; null if none is known. */
  readonly configurationVersion: number | null;
}

const STATUS_RANK: Readonly<Record<MemberStatus, number>> = {
  alive: 0,
  suspect: 1,
  dead: 2,
  left: 3,
};

/**
 * Whether an update supersedes the known entry. A later incarnation wins; within an incarnation the
 * daemon's own leave wins, as it is final; then the higher refutation; then the worse status. This
 * is a total order, so that the tables of all daemons converge.
 */
export function supersedes(update: MemberUpdate, known: MemberUpdate): boolean {
  if (update.incarnation !== known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  if ((update.status === 'left') !== (known.status === 'left')) {
    return update.status === 'left';
  }
  if (update.refutation !== known.refutation) {
    return update.refutation > known.refutation;
  }
  return STATUS_RANK[update.status] > STATUS_RANK[known.status];
}

/** Whether the member is alive or suspected, but neither dead nor left. */
export function isPresent(member: MemberUpdate): boolean {
  return member.status === 'alive' || member.status === 'suspect';
}

/** Whether both refer to the same incarnation of the same daemon. */
export function isSameIncarnation(
  one: { readonly name: DaemonName; readonly incarnation: Incarnation },
  other: { readonly name: DaemonName; readonly incarnation: Incarnation },
): boolean {
  return one.name === other.name && one.incarnation === other.incarnation;
}

/** The fields of a member that are gossiped. */
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
