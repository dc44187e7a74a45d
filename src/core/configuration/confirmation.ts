/** Whether a version is in force on every daemon that may still be running. */
import type { DaemonName } from '../common/identifiers.js';
import { isPresent, type MembershipState } from '../membership/index.js';
import type { Endpoint } from '../registry/backend.js';

/** A daemon whose confirmation is wanted. */
export interface UnconfirmedDaemon {
  readonly name: DaemonName;
  readonly endpoint: Endpoint;
}

/** How far a version has come. */
export interface Confirmation {
  /** Daemons that have it or a later one, this one included when it does. */
  readonly inForce: number;
  readonly waitingFor: readonly UnconfirmedDaemon[];
}

/**
 * Counts every daemon that membership holds present or the machine list still names. A daemon that
 * was given up but is still listed counts too: it may be cut off and still serve. Only one that
 * announced its leave, or is both given up and delisted, does not.
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
