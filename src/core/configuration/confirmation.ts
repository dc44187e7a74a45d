/** Determines whether a version is in force on every daemon that may still be running. */
import type { DaemonName } from '../common/identifiers.js';
import { isPresent, type MembershipState } from '../membership/index.js';
import type { Endpoint } from '../registry/backend.js';

/** A daemon that has not confirmed the version. */
export interface UnconfirmedDaemon {
  readonly name: DaemonName;
  readonly endpoint: Endpoint;
}

/** Which daemons have confirmed a version. */
export interface Confirmation {
  /** The number of daemons with this version or a later one in force, including this daemon. */
  readonly inForce: number;
  readonly waitingFor: readonly UnconfirmedDaemon[];
}

/**
 * Counts every daemon that is present in the membership or still in the machine list. A daemon
 * declared dead counts while it is listed: it may be partitioned and still serving. Not counted are
 * daemons that announced that they leave, and daemons that are both dead and no longer listed.
 */
export function confirmationOf(
  membership: MembershipState,
  ownVersion: number,
  version: number,
): Confirmation {
  let inForce = ownVersion >= version ? 1 : 0;
  const waitingFor = new Map<DaemonName, UnconfirmedDaemon>();
  const listed = new Map(membership.listed.map((machine) => [machine.name, machine]));
  for (const member of membership.members.values()) {
    const counts = isPresent(member) || (member.status === 'dead' && listed.has(member.name));
    if (member.name === membership.self.name || !counts) {
      continue;
    }
    if ((member.configurationVersion ?? -1) >= version) {
      inForce += 1;
    } else {
      waitingFor.set(member.name, { name: member.name, endpoint: member.endpoint });
    }
  }
  for (const machine of listed.values()) {
    if (!membership.members.has(machine.name)) {
      const endpoint = { address: machine.address, port: machine.port };
      waitingFor.set(machine.name, { name: machine.name, endpoint });
    }
  }
  return { inForce, waitingFor: [...waitingFor.values()] };
}
